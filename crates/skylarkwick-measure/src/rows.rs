//! Rows of a measurement's result, printed as a table or as JSON.

use std::fmt::Write;

use serde_json::json;

/// One measured value with its name and unit, and its target's limits, if it has one.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// What was measured.
    pub(crate) name: String,
    /// The measured value.
    pub(crate) value: f64,
    /// Its unit.
    pub(crate) unit: &'static str,
    /// Upper limit of the target.
    pub(crate) at_most: Option<f64>,
    /// Lower limit of the target.
    pub(crate) at_least: Option<f64>,
}

impl Row {
    /// Creates a row without a target.
    pub(crate) fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Row {
        Row { name: name.into(), value, unit, at_most: None, at_least: None }
    }

    /// Sets the upper limit of the target; the limit itself meets it.
    pub(crate) fn at_most(self, limit: f64) -> Row {
        Row { at_most: Some(limit), ..self }
    }

    /// Sets the lower limit of the target; the limit itself meets it.
    pub(crate) fn at_least(self, limit: f64) -> Row {
        Row { at_least: Some(limit), ..self }
    }

    /// Returns `met` or `NOT MET`, or an empty text for a row without a target.
    fn verdict(&self) -> &'static str {
        let is_met = self.at_most.is_none_or(|limit| self.value <= limit)
            && self.at_least.is_none_or(|limit| self.value >= limit);
        match (self.at_most.or(self.at_least), is_met) {
            (None, _) => "",
            (Some(_), true) => "met",
            (Some(_), false) => "NOT MET",
        }
    }
}

/// Formats the rows as a table for humans.
pub(crate) fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let limit = match (row.at_most, row.at_least) {
            (Some(limit), _) => format!("at most {limit}"),
            (_, Some(limit)) => format!("at least {limit}"),
            _ => String::new(),
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:<58} {:>12.3} {:<10} {:<16} {}",
            row.name,
            row.value,
            row.unit,
            limit,
            row.verdict()
        );
    }
    text
}

/// Formats the rows of the measurement `name` as one JSON object.
pub(crate) fn json(name: &str, rows: &[Row]) -> String {
    let rows: Vec<_> = rows
        .iter()
        .map(|row| {
            json!({
                "name": row.name, "value": row.value, "unit": row.unit,
                "at_most": row.at_most, "at_least": row.at_least, "verdict": row.verdict(),
            })
        })
        .collect();
    json!({ "measurement": name, "rows": rows }).to_string()
}

/// Returns the mean of some values, or 0 if there are none.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Sorts the values and returns the one nearest to the quantile `fraction`, which is
/// from 0 to 1; returns 0 if there are none.
pub(crate) fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * fraction).round().max(0.0) as usize;
    values.get(index).copied().unwrap_or(0.0)
}
