//! Layout of the capacity report as text: columns, their order, headings and widths.

use std::fmt::Write;

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::reports::row::{ReportRow, ReportView};

/// Maximum width of a column, in characters.
const WIDTH_MAX: usize = 64;

/// Field of a report row that a column can show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs, reason = "documented at the field of the report row")]
pub enum ReportField {
    Team,
    Guaranteed,
    Short,
    Claimed,
    Borrowed,
    Waiting,
    Running,
    Finished,
    Failed,
    Cancelled,
    Evicted,
    MeanCompletionMs,
    P95CompletionMs,
    Late,
}

/// Column of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ReportColumn {
    /// Field of the report row that the column shows.
    pub field: ReportField,
    /// Heading, cut to the column's width.
    pub heading: String,
    /// Width in characters; 1 to 64. Longer values are cut.
    pub width: usize,
}

/// Title, columns and totals of the capacity report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ReportLayout {
    /// Title in the first line of the report, before the ticket.
    pub title: String,
    /// Columns, left to right.
    pub columns: Vec<ReportColumn>,
    /// Whether the last row with the totals of all teams is shown.
    pub totals: bool,
}

impl Default for ReportLayout {
    fn default() -> Self {
        let column = |field, heading: &str, width| ReportColumn {
            field,
            heading: heading.to_owned(),
            width,
        };
        Self {
            title: "CAPACITY BY TEAM".to_owned(),
            columns: vec![
                column(ReportField::Team, "TEAM", 16),
                column(ReportField::Guaranteed, "GUAR", 6),
                column(ReportField::Short, "SHORT", 6),
                column(ReportField::Claimed, "CLAIM", 6),
                column(ReportField::Borrowed, "BORROW", 7),
                column(ReportField::Waiting, "WAIT", 6),
                column(ReportField::Running, "RUN", 6),
                column(ReportField::Finished, "DONE", 6),
                column(ReportField::Failed, "FAIL", 6),
                column(ReportField::Cancelled, "CANCEL", 7),
                column(ReportField::Evicted, "EVICT", 6),
                column(ReportField::MeanCompletionMs, "MEAN-MS", 10),
                column(ReportField::P95CompletionMs, "P95-MS", 10),
                column(ReportField::Late, "LATE", 5),
            ],
            totals: true,
        }
    }
}

impl ReportLayout {
    /// Checks that there is at least one column and that all widths are 1 to 64.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no column, or one that names the column whose width is out of
    /// range.
    pub fn check(&self) -> Result<(), Report> {
        ensure!(
            !self.columns.is_empty(),
            "columns: list is empty; at least one column is required"
        );
        for (index, column) in self.columns.iter().enumerate() {
            ensure!(
                (1..=WIDTH_MAX).contains(&column.width),
                "columns[{index}].width: {} is out of range; allowed are 1 to {WIDTH_MAX}",
                column.width
            );
        }
        Ok(())
    }

    /// Renders a report as text, with one line each for the title, the headings and every row.
    pub fn render(&self, report: &ReportView) -> String {
        let mut text = format!("{}  (ticket {})\n", self.title, report.ticket);
        self.render_line(&mut text, |column| column.heading.clone());
        let shown = match self.totals {
            true => report.rows.len(),
            false => report.rows.len().saturating_sub(1),
        };
        for row in &report.rows[..shown] {
            self.render_line(&mut text, |column| field_text(row, column.field));
        }
        text
    }

    fn render_line(&self, text: &mut String, cell: impl Fn(&ReportColumn) -> String) {
        for (index, column) in self.columns.iter().enumerate() {
            let value: String = cell(column).chars().take(column.width).collect();
            let gap = if index == 0 { "" } else { " " };
            let width = column.width;
            // Writing to a `String` never fails.
            let _ = match column.field {
                ReportField::Team => write!(text, "{gap}{value:<width$}"),
                _ => write!(text, "{gap}{value:>width$}"),
            };
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
}

fn field_text(row: &ReportRow, field: ReportField) -> String {
    let number = match field {
        ReportField::Team => return row.team.clone(),
        ReportField::Guaranteed => row.guaranteed,
        ReportField::Short => row.short,
        ReportField::Claimed => row.claimed,
        ReportField::Borrowed => row.borrowed,
        ReportField::Waiting => row.waiting,
        ReportField::Running => row.running,
        ReportField::Finished => row.finished,
        ReportField::Failed => row.failed,
        ReportField::Cancelled => row.cancelled,
        ReportField::Evicted => row.evicted,
        ReportField::MeanCompletionMs => row.mean_completion_ms,
        ReportField::P95CompletionMs => row.p95_completion_ms,
        ReportField::Late => row.late,
    };
    number.to_string()
}
