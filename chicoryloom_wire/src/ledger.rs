//! Ledgers as kept by the platform.

use std::fmt;
use std::num::ParseIntError;

use chicoryloom_policy::id;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::ledger::Ledger;
use chicoryloom_policy::ledger::SEATS;
use chicoryloom_policy::ledger::Seat;

use crate::generated::ledger as raw;

/// Why a stored ledger can't be used.
#[derive(Debug)]
pub enum Error {
    Json(serde_json::Error),
    Host(id::InvalidName),
    Incarnation(ParseIntError),
    /// It has this many seats.
    Seats(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "ledger object: {error}"),
            Self::Host(error) => write!(f, "ledger object: host: {error}"),
            Self::Incarnation(error) => write!(f, "ledger object: incarnation: {error}"),
            Self::Seats(count) => write!(f, "ledger object: {count} seats, not {SEATS}"),
        }
    }
}

impl std::error::Error for Error {}

impl TryFrom<raw::Ledger> for Ledger {
    type Error = Error;

    fn try_from(raw: raw::Ledger) -> Result<Self, Self::Error> {
        if raw.seats.len() != SEATS {
            return Err(Error::Seats(raw.seats.len()));
        }
        let seats: Result<_, _> = raw.seats.into_iter().map(seat).collect();
        Ok(Self { generation: raw.generation, seats: seats? })
    }
}

fn seat(raw: raw::Seat) -> Result<Seat, Error> {
    let holder = if raw.host.is_empty() {
        None
    } else {
        let host = raw.host.parse().map_err(Error::Host)?;
        let incarnation = raw.incarnation.parse().map_err(Error::Incarnation)?;
        Some(Holder { host, incarnation })
    };
    Ok(Seat { holder, since: raw.since, seized: raw.seized })
}

impl From<&Ledger> for raw::Ledger {
    fn from(ledger: &Ledger) -> Self {
        let seat = |seat: &Seat| {
            let holder = seat.holder.as_ref();
            raw::Seat {
                host: holder.map(|holder| holder.host.to_string()).unwrap_or_default(),
                incarnation: holder
                    .map(|holder| holder.incarnation.to_string())
                    .unwrap_or_default(),
                since: seat.since,
                seized: seat.seized,
            }
        };
        Self { generation: ledger.generation, seats: ledger.seats.iter().map(seat).collect() }
    }
}

/// Reads the value of a ledger object.
pub fn parse(value: &str) -> Result<Ledger, Error> {
    serde_json::from_str::<raw::Ledger>(value).map_err(Error::Json)?.try_into()
}

/// Writes the value of a ledger object.
pub fn render(ledger: &Ledger) -> String {
    serde_json::to_string(&raw::Ledger::from(ledger)).expect("a ledger always serialises")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ledger_survives_the_platform() {
        let me = Holder { host: "host-1".parse().unwrap(), incarnation: id::Incarnation(7) };
        let homes = [me.host.clone(), "host-2".parse().unwrap()];
        let ledger = Ledger::default().propose(&me, &homes, false).unwrap();
        assert_eq!(parse(&render(&ledger)).unwrap(), ledger);
    }

    #[test]
    fn ledger_with_a_missing_seat_is_refused() {
        let mut ledger = Ledger::default();
        ledger.seats.pop();
        assert!(matches!(parse(&render(&ledger)), Err(Error::Seats(_))));
    }
}
