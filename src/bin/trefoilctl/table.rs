//! Tables with aligned columns.

const COLUMN_SEPARATOR: &str = "  ";

pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(headings: Vec<&str>) -> Self {
        let headings = headings.into_iter().map(str::to_owned).collect();
        Self {
            rows: vec![headings],
        }
    }

    /// Appends a row, which has a cell for each column.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub fn print(&self) {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect::<Vec<_>>();
            crate::output::line(cells.join(COLUMN_SEPARATOR).trim_end());
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
