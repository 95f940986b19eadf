//! Typed access to settings that collects all faults.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    fmt::Display,
    ops::RangeInclusive,
    str::FromStr,
    time::Duration, //
};

use crate::{
    error::{
        SettingFault,
        SettingsError, //
    },
    file::SettingsFile, //
};

/// Reads typed values and collects the faults.
///
/// For a value that can't be parsed, `None` or the default is returned, so that
/// reading can continue and [`SettingsReader::finish`] reports all faults
/// together.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    file: &'a SettingsFile,
    /// Sections and keys that were read; all others are unknown.
    known_keys: RefCell<BTreeSet<(String, String)>>,
    faults: RefCell<Vec<SettingFault>>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader of a file.
    pub fn new(file: &'a SettingsFile) -> Self {
        Self {
            file,
            known_keys: RefCell::default(),
            faults: RefCell::default(),
        }
    }

    /// Reads a value that must be present; `example` is shown in its faults.
    pub fn required<T>(&self, section: &str, key: &str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.raw_value(section, key) else {
            self.fault(
                section,
                key,
                "is missing",
                &format!("set it, such as '{example}'"),
            );
            return None;
        };
        self.parse(section, key, text, example)
    }

    /// Reads a value that may be absent; `example` is shown in its faults.
    pub fn optional<T>(&self, section: &str, key: &str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.raw_value(section, key)?;
        self.parse(section, key, text, example)
    }

    /// Reads a number with a default and a range.
    pub fn number<T>(&self, section: &str, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
        T::Err: Display,
    {
        let Some(text) = self.raw_value(section, key) else {
            return default;
        };
        let help = format!("use {} to {}", range.start(), range.end());
        let Some(number) = self.parse::<T>(section, key, text, &default.to_string()) else {
            return default;
        };
        if !range.contains(&number) {
            self.fault(section, key, &format!("{number} is out of range"), &help);
            return default;
        }
        number
    }

    /// Reads a duration, written with its unit, with a default and a range.
    pub fn duration(
        &self,
        section: &str,
        key: &str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Duration {
        let Some(text) = self.raw_value(section, key) else {
            return default;
        };
        let help = format!(
            "use {} to {}, with a unit such as 500ms or 3s",
            humantime::format_duration(*range.start()),
            humantime::format_duration(*range.end())
        );
        match humantime::parse_duration(text) {
            Ok(duration) if range.contains(&duration) => duration,
            Ok(_) => {
                self.fault(section, key, &format!("{text} is out of range"), &help);
                default
            }
            Err(err) => {
                self.fault(section, key, &format!("'{text}': {err}"), &help);
                default
            }
        }
    }

    /// Ends reading and checks for unknown keys.
    ///
    /// # Errors
    ///
    /// Returns all faults, including unknown keys.
    pub fn finish(self) -> Result<(), SettingsError> {
        for (section, key) in self.file.keys() {
            let section = section.unwrap_or_default();
            let name = (section.to_owned(), key.to_owned());
            if !self.known_keys.borrow().contains(&name) {
                self.fault(
                    section,
                    key,
                    "is not a setting",
                    "remove it or mend its name",
                );
            }
        }
        let faults = self.faults.into_inner();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::Faults(faults))
        }
    }

    /// Records a fault; for checks that involve several keys.
    pub fn fault(&self, section: &str, key: &str, fault: &str, help: &str) {
        self.faults.borrow_mut().push(SettingFault {
            file: self.file.path().to_owned(),
            line: self.file.line(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            fault: fault.to_owned(),
            help: help.to_owned(),
        });
    }

    fn raw_value(&self, section: &str, key: &str) -> Option<&'a str> {
        self.known_keys
            .borrow_mut()
            .insert((section.to_owned(), key.to_owned()));
        self.file.value(section, key)
    }

    fn parse<T>(&self, section: &str, key: &str, text: &str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                let help = format!("write it like '{example}'");
                self.fault(section, key, &format!("'{text}': {err}"), &help);
                None
            }
        }
    }
}
