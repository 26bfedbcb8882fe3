//! Text in aligned columns.

/// Blanks between two columns.
const GAP: &str = "  ";

/// A table with a heading.
pub struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// A table with this heading and no rows.
    pub fn new(heading: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![heading.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: [String; COLUMNS]) {
        self.rows.push(cells);
    }

    /// Prints it.
    pub fn print(&self) {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect::<Vec<_>>();
            crate::output::line(cells.join(GAP).trim_end());
        }
    }

    fn widths(&self) -> [usize; COLUMNS] {
        let mut widths = [0; COLUMNS];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}
