//! Probability distributions of run times and numbers of tasks.

use std::{f64::consts::TAU, str::FromStr};

use derive_more::{Display, Error};
use rand::Rng;

const PERCENT: f64 = 100.0;

/// A probability distribution; its parameters have the unit of its values.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Distribution {
    /// A constant.
    #[display("fixed:{_0}")]
    Fixed(f64),
    /// The uniform distribution between two bounds.
    #[display("uniform:{min}:{max}")]
    Uniform { min: f64, max: f64 },
    /// The lognormal distribution.
    #[display("lognormal:{mean}:{sigma}")]
    Lognormal {
        mean: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// One of two values.
    #[display("bimodal:{short}:{long}:{long_percent}")]
    Bimodal {
        /// The common value.
        short: f64,
        /// The rare value.
        long: f64,
        /// Probability of the rare value, in percent.
        long_percent: f64,
    },
}

/// Error of parsing a [`Distribution`].
#[derive(Clone, Debug, Display, Error)]
#[display(
    "invalid distribution {text:?}; try 100, fixed:100, uniform:50:1000, \
     lognormal:200:0.5 (mean, sigma) or bimodal:100:2000:5 (short, long, percent long)"
)]
pub struct DistributionError {
    text: String,
}

impl FromStr for Distribution {
    type Err = DistributionError;

    fn from_str(text: &str) -> Result<Self, DistributionError> {
        parse(text).ok_or_else(|| DistributionError {
            text: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<Distribution> {
    if let Ok(value) = text.parse() {
        return Some(Distribution::Fixed(value));
    }
    let (name, numbers) = text.split_once(':')?;
    let numbers: Vec<f64> = numbers
        .split(':')
        .map(|number| number.parse().ok())
        .collect::<Option<_>>()?;
    match (name, numbers[..].as_ref()) {
        ("fixed", &[value]) => Some(Distribution::Fixed(value)),
        ("uniform", &[min, max]) if min <= max => Some(Distribution::Uniform { min, max }),
        ("lognormal", &[mean, sigma]) if mean > 0.0 => {
            Some(Distribution::Lognormal { mean, sigma })
        }
        ("bimodal", &[short, long, long_percent]) => Some(Distribution::Bimodal {
            short,
            long,
            long_percent,
        }),
        _ => None,
    }
}

impl Distribution {
    /// Samples one value.
    pub fn sample(&self, random: &mut impl Rng) -> f64 {
        match *self {
            Self::Fixed(value) => value,
            Self::Uniform { min, max } => min + (max - min) * random.random::<f64>(),
            Self::Lognormal { mean, sigma } => {
                let mu = mean.ln() - sigma * sigma / 2.0;
                (mu + sigma * normal(random)).exp()
            }
            Self::Bimodal {
                short,
                long,
                long_percent,
            } => match chance(random, long_percent) {
                true => long,
                false => short,
            },
        }
    }
}

/// True with a probability of `percent`.
pub(crate) fn chance(random: &mut impl Rng, percent: f64) -> bool {
    random.random::<f64>() * PERCENT < percent
}

/// Samples the standard normal distribution by the Box-Muller transform.
fn normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * open_unit(random).ln()).sqrt();
    radius * (TAU * random.random::<f64>()).cos()
}

/// Samples the exponential distribution, such as the time to the next event of a Poisson process.
pub fn exponential(random: &mut impl Rng, rate: f64) -> f64 {
    -open_unit(random).ln() / rate
}

/// Samples the uniform distribution on (0, 1].
fn open_unit(random: &mut impl Rng) -> f64 {
    1.0 - random.random::<f64>()
}
