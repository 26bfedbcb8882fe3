//! Text in aligned columns.

/// Blanks between two columns.
const GAP: &str = "  ";

/// A table with a heading.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this heading and no rows.
    pub fn new(heading: Vec<&str>) -> Self {
        let heading = heading.into_iter().map(str::to_owned).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row, with a cell for each column.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints it.
    pub fn print(&self) {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect::<Vec<_>>();
            crate::output::line(cells.join(GAP).trim_end());
        }
    }

    fn widths(&self) -> Vec<usize> {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..self.rows[0].len()).map(width).collect()
    }
}
