//! Newtypes for quantities.
//!
//! A quantity parses from its `Display` text. The unit after the number may be left out and is not
//! checked.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

macro_rules! count_unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Add,
            AddAssign, Sub, SubAssign, Sum, Serialize, Deserialize,
        )]
        #[display($format, _0)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let number = text.split_whitespace().next().unwrap_or_default();
                number.parse().map(Self).map_err(|_| Error::invalid_unit($unit, text))
            }
        }
    };
}

macro_rules! rate_unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Add, AddAssign, Sub,
            SubAssign, Sum, Serialize, Deserialize,
        )]
        #[display($format, _0)]
        #[serde(transparent)]
        pub struct $name(pub f64);

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let number = text.split_whitespace().next().unwrap_or_default();
                let rate: f64 = number.parse().map_err(|_| Error::invalid_unit($unit, text))?;
                if !rate.is_finite() || rate < 0.0 {
                    return Err(Error::invalid_unit($unit, text));
                }
                Ok(Self(rate))
            }
        }
    };
}

count_unit!(
    /// `Tokens` counts tokens of a prompt or an answer.
    Tokens, "number of tokens", "{} tokens"
);
count_unit!(
    /// `ByteSize` counts bytes.
    ByteSize, "number of bytes", "{} B"
);
rate_unit!(
    /// `TokenRate` is a rate in tokens per second.
    TokenRate, "token rate", "{} tokens/s"
);
rate_unit!(
    /// `RequestRate` is a rate in requests per second.
    RequestRate, "request rate", "{} requests/s"
);
rate_unit!(
    /// `HourlyPrice` is the price of a VM in currency units per hour.
    HourlyPrice, "hourly price", "{} per hour"
);
