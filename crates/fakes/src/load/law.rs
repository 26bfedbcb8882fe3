//! Laws of distribution, for run times and for tasks in a job.

use std::{f64::consts::TAU, str::FromStr};

use derive_more::{Display, Error};
use rand::Rng;

const PERCENT: f64 = 100.0;

/// A law of distribution, with its parameters in the unit of what it rules.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Law {
    /// Always the same.
    #[display("fixed:{_0}")]
    Fixed(f64),
    /// Evenly between two bounds.
    #[display("uniform:{min}:{max}")]
    Uniform {
        /// Least.
        min: f64,
        /// Most.
        max: f64,
    },
    /// Lognormal, by its mean and the deviation of its logarithm.
    #[display("lognormal:{mean}:{sigma}")]
    Lognormal {
        /// Mean.
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
        /// Share of the rare value, in percent.
        long_percent: f64,
    },
}

/// Why a text is no law.
#[derive(Clone, Debug, Display, Error)]
#[display(
    "{text:?} is no law; try 100, fixed:100, uniform:50:1000, lognormal:200:0.5 (mean, sigma) or \
     bimodal:100:2000:5 (short, long, percent long)"
)]
pub struct LawError {
    text: String,
}

impl FromStr for Law {
    type Err = LawError;

    fn from_str(text: &str) -> Result<Self, LawError> {
        parse(text).ok_or_else(|| LawError {
            text: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<Law> {
    if let Ok(value) = text.parse() {
        return Some(Law::Fixed(value));
    }
    let (name, numbers) = text.split_once(':')?;
    let numbers: Vec<f64> = numbers
        .split(':')
        .map(|number| number.parse().ok())
        .collect::<Option<_>>()?;
    match (name, numbers[..].as_ref()) {
        ("fixed", &[value]) => Some(Law::Fixed(value)),
        ("uniform", &[min, max]) if min <= max => Some(Law::Uniform { min, max }),
        ("lognormal", &[mean, sigma]) if mean > 0.0 => Some(Law::Lognormal { mean, sigma }),
        ("bimodal", &[short, long, long_percent]) => Some(Law::Bimodal {
            short,
            long,
            long_percent,
        }),
        _ => None,
    }
}

impl Law {
    /// Draws one value.
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
            } => match percent(random, long_percent) {
                true => long,
                false => short,
            },
        }
    }
}

/// True in `share` percent of calls.
pub fn percent(random: &mut impl Rng, share: f64) -> bool {
    random.random::<f64>() * PERCENT < share
}

/// Draws from the standard normal law (Box and Muller, 1958).
fn normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * open_unit(random).ln()).sqrt();
    radius * (TAU * random.random::<f64>()).cos()
}

/// Draws the gap to the next event of a Poisson process, in its own unit.
pub fn exponential(random: &mut impl Rng, rate: f64) -> f64 {
    -open_unit(random).ln() / rate
}

fn open_unit(random: &mut impl Rng) -> f64 {
    1.0 - random.random::<f64>()
}
