//! Escaping of text in HTML and SVG.

use std::fmt::{self, Display, Write};

/// `Escaped` displays a value with the special characters of HTML and SVG escaped, for use in
/// content and in quoted attributes.
pub struct Escaped<T>(pub T);

impl<T: Display> Display for Escaped<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(Escaper(f), "{}", self.0)
    }
}

struct Escaper<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for c in text.chars() {
            match c {
                '&' => self.0.write_str("&amp;")?,
                '<' => self.0.write_str("&lt;")?,
                '>' => self.0.write_str("&gt;")?,
                '"' => self.0.write_str("&quot;")?,
                '\'' => self.0.write_str("&#39;")?,
                _ => self.0.write_char(c)?,
            }
        }
        Ok(())
    }
}
