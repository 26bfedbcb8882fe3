//! `cargo xtask figures DIR [PLOTS]`: prints tables of the runs that `scripts/measure` wrote
//! to DIR, and draws plots to PLOTS if given.

mod plots;
mod record;
mod tables;

use std::path::Path;

use crate::Result;
use record::Record;

/// Prints a table per set and draws the plots.
pub fn run(dir: &Path, plots: Option<&Path>) -> Result<()> {
    let records = record::read_all(dir)?;
    let mut sets: Vec<&str> = records.iter().map(|record| record.set.as_str()).collect();
    sets.dedup();
    for set in sets {
        let set_records: Vec<&Record> = records.iter().filter(|record| record.set == set).collect();
        println!("{}", tables::table(set, &set_records));
    }
    match plots {
        Some(plots) => plots::draw(&records, plots),
        None => Ok(()),
    }
}
