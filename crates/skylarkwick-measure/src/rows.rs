//! Rows of a measurement.

use std::fmt::Write;

use serde_json::json;

/// One figure, and its target where there is one.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// What was measured.
    pub(crate) name: String,
    /// The figure.
    pub(crate) value: f64,
    /// Its unit.
    pub(crate) unit: &'static str,
    /// The most that it may be.
    pub(crate) at_most: Option<f64>,
    /// The least that it may be.
    pub(crate) at_least: Option<f64>,
}

impl Row {
    pub(crate) fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Row {
        Row { name: name.into(), value, unit, at_most: None, at_least: None }
    }

    pub(crate) fn at_most(self, limit: f64) -> Row {
        Row { at_most: Some(limit), ..self }
    }

    pub(crate) fn at_least(self, limit: f64) -> Row {
        Row { at_least: Some(limit), ..self }
    }

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

/// Returns the rows as a table for people.
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

/// Returns the rows as one JSON object.
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

/// Returns the mean of some figures.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns a quantile of some figures.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = ((values.len() as f64 - 1.0) * share).round().max(0.0) as usize;
    values.get(place).copied().unwrap_or(0.0)
}
