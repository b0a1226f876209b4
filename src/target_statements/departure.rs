//! What an answer states about whether its target is leaving.

use crate::target_statements::quoted;

/// Value that states that the target is leaving.
const LEAVING: &str = "1";
/// Value that states that it is not, as does its absence.
const STAYING: &str = "0";

/// What an answer states about whether its target is leaving.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum DepartureStatement {
    /// The target does not state that it is leaving.
    #[default]
    Staying,
    /// The target is leaving and should get no new work.
    Leaving,
    /// The target states something else; holds the value, truncated.
    Unreadable(String),
}

impl DepartureStatement {
    /// Reads the values of the header that states a departure. Several values may also be listed
    /// in one, separated by commas. One that states the departure suffices.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut statement = Self::Staying;
        for value in values.flat_map(|value| value.split(',')) {
            match value.trim() {
                LEAVING => return Self::Leaving,
                STAYING => {}
                other => statement = Self::Unreadable(quoted(other)),
            }
        }
        statement
    }
}
