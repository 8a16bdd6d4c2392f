//! Name and data centre of the host.

use chicoryloom_policy::id;
use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// Name and data centre of the host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    pub name: id::Host,
    pub data_centre: id::DataCentre,
}

impl TryFrom<raw::Host> for Host {
    type Error = Fault;

    fn try_from(raw: raw::Host) -> Result<Self, Self::Error> {
        Ok(Self {
            name: raw.name.parse().map_err(|error| Fault::new("host.name", error))?,
            data_centre: raw
                .data_centre
                .parse()
                .map_err(|error| Fault::new("host.data_centre", error))?,
        })
    }
}
