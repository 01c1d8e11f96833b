//! Parses a text into a tree of atoms and lists, each with its position.

use lexpr::datum::Ref;

use crate::Error;

/// An atom or a list with its start position (line and column, from 1).
#[derive(Clone, Debug)]
pub(crate) struct Tree {
    pub place: (usize, usize),
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// An atom as written in the text; a quoted one without its quotes.
    Atom {
        text: String,
        quoted: bool,
    },
    List(Vec<Tree>),
}

/// Parses a whole text.
pub(crate) fn read(text: &str) -> Result<Vec<Tree>, Error> {
    let source = Source { lines: text.split('\n').collect() };
    // The reader-based parser counts lines incrementally. The string-based one counts them from the beginning
    // for each datum, which took half a second for a file of 1,000 members.
    let mut parser = lexpr::Parser::from_reader(text.as_bytes());
    let mut all = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => all.push(source.tree(datum.as_ref())?),
            Ok(None) => return Ok(all),
            Err(_) => return Err(syntax_error(text)),
        }
    }
}

/// Returns the error for a text that can't be parsed. Uses the string-based parser, which reports the exact
/// position.
fn syntax_error(text: &str) -> Error {
    let mut parser = lexpr::Parser::from_str(text);
    let error = loop {
        match parser.next_datum() {
            Ok(Some(_)) => {}
            Ok(None) => return Error { place: None, path: String::new(), message: "not a text".to_owned() },
            Err(error) => break error,
        }
    };
    let place = error.location().map(|at| (at.line(), at.column() + 1));
    let message = error.to_string();
    // The position is reported separately from the message.
    let message = message.split(" at line ").next().unwrap_or_default().to_owned();
    Error { place, path: String::new(), message }
}

/// Returns the start of a datum. The parser reports it one byte late, since it has read the first byte
/// already.
fn start(datum: Ref<'_>) -> (usize, usize) {
    let at = datum.span().start();
    (at.line(), at.column().saturating_sub(1))
}

struct Source<'a> {
    lines: Vec<&'a str>,
}

impl<'a> Source<'a> {
    /// Returns the unquoted atom at a position as written in the text, up to the next delimiter.
    fn unquoted_atom(&self, (line, column): (usize, usize)) -> &'a str {
        let rest =
            line.checked_sub(1).and_then(|line| self.lines.get(line)).and_then(|line| line.get(column..));
        let rest = rest.unwrap_or_default();
        let is_delimiter = |c: char| c.is_whitespace() || matches!(c, '(' | ')' | '[' | ']' | '"' | ';');
        // Symbols between bars and character literals may contain delimiters.
        let skip = match rest.as_bytes() {
            [b'|', ..] => rest[1..].find('|').map_or(1, |bar| bar + 2),
            [b'#', b'\\', ..] => 2 + rest[2..].chars().next().map_or(0, char::len_utf8),
            _ => 0,
        };
        let end = rest[skip..].find(is_delimiter).map_or(rest.len(), |end| skip + end);
        &rest[..end]
    }

    fn tree(&self, datum: Ref<'_>) -> Result<Tree, Error> {
        let at = start(datum);
        let place = (at.0, at.1 + 1);
        if let Some(text) = datum.value().as_str() {
            return Ok(Tree { place, kind: Kind::Atom { text: text.to_owned(), quoted: true } });
        }
        if datum.value().is_list() {
            let mut items: Vec<Tree> = Vec::new();
            // The S-expression parser splits "300ms" or an address into a number and a symbol; parts without
            // a delimiter between them form one atom.
            let mut atom_end = (0, 0);
            for item in datum.list_iter().into_iter().flatten() {
                let start_of_item = start(item);
                let tree = self.tree(item)?;
                if let Kind::Atom { text, quoted: false } = &tree.kind {
                    if start_of_item < atom_end {
                        continue;
                    }
                    atom_end = (start_of_item.0, start_of_item.1 + text.len());
                }
                items.push(tree);
            }
            return Ok(Tree { place, kind: Kind::List(items) });
        }
        if datum.value().is_cons() {
            let message = "a dotted pair, expected a list".to_owned();
            return Err(Error { place: Some(place), path: String::new(), message });
        }
        Ok(Tree { place, kind: Kind::Atom { text: self.unquoted_atom(at).to_owned(), quoted: false } })
    }
}
