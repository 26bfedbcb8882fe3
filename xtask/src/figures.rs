//! `cargo xtask figures DIR [PLOTS]`: tables and plots of the runs that
//! `scripts/measure` wrote under DIR; the plots go to PLOTS, if named.

mod plots;
mod record;
mod tables;

use std::path::Path;

use crate::Result;
use record::Record;

/// Prints the tables of every set, and draws the plots.
pub fn run(dir: &Path, plots: Option<&Path>) -> Result<()> {
    let records = record::read_all(dir)?;
    let mut sets: Vec<&str> = records.iter().map(|record| record.set.as_str()).collect();
    sets.dedup();
    for set in sets {
        let of_set: Vec<&Record> = records.iter().filter(|record| record.set == set).collect();
        println!("{}", tables::table(set, &of_set));
    }
    match plots {
        Some(plots) => plots::draw(&records, plots),
        None => Ok(()),
    }
}
