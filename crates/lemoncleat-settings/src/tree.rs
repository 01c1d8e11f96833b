//! The text as a tree of atoms and lists, each with its place.

use lexpr::datum::Ref;

use crate::Error;

/// An atom or a list, and where it begins (line and column, from 1).
#[derive(Clone, Debug)]
pub(crate) struct Tree {
    pub place: (usize, usize),
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// As it stands in the text; of a quoted one, what the quotes hold.
    Atom {
        text: String,
        quoted: bool,
    },
    List(Vec<Tree>),
}

/// Reads all of a text.
pub(crate) fn read(text: &str) -> Result<Vec<Tree>, Error> {
    let source = Source { lines: text.split('\n').collect() };
    // This parser counts lines as it goes. That for texts counts them from the beginning for each datum, so that a
    // file of 1,000 members took half a second.
    let mut parser = lexpr::Parser::from_reader(text.as_bytes());
    let mut all = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => all.push(source.tree(datum.as_ref())?),
            Ok(None) => return Ok(all),
            Err(_) => return Err(mistake(text)),
        }
    }
}

/// What is wrong with a text that can't be parsed, as the parser for texts tells it: it knows the exact place.
fn mistake(text: &str) -> Error {
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
    // The place is told apart from the message.
    let message = message.split(" at line ").next().unwrap_or_default().to_owned();
    Error { place, path: String::new(), message }
}

/// Where a datum begins: the parser has looked at its first byte already.
fn start(datum: Ref<'_>) -> (usize, usize) {
    let at = datum.span().start();
    (at.line(), at.column().saturating_sub(1))
}

struct Source<'a> {
    lines: Vec<&'a str>,
}

impl<'a> Source<'a> {
    /// The atom without quotes that begins at a place, as it stands in the text, up to the next gap.
    fn bare(&self, (line, column): (usize, usize)) -> &'a str {
        let rest =
            line.checked_sub(1).and_then(|line| self.lines.get(line)).and_then(|line| line.get(column..));
        let rest = rest.unwrap_or_default();
        let ends = |c: char| c.is_whitespace() || matches!(c, '(' | ')' | '[' | ']' | '"' | ';');
        // A symbol between bars and a character may hold what ends others.
        let skip = match rest.as_bytes() {
            [b'|', ..] => rest[1..].find('|').map_or(1, |bar| bar + 2),
            [b'#', b'\\', ..] => 2 + rest[2..].chars().next().map_or(0, char::len_utf8),
            _ => 0,
        };
        let end = rest[skip..].find(ends).map_or(rest.len(), |end| skip + end);
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
            // A reader of S-expressions takes "300ms" or an address apart into a number and a symbol; what stands
            // without a gap belongs together.
            let mut read = (0, 0);
            for item in datum.list_iter().into_iter().flatten() {
                let from = start(item);
                let tree = self.tree(item)?;
                if let Kind::Atom { text, quoted: false } = &tree.kind {
                    if from < read {
                        continue;
                    }
                    read = (from.0, from.1 + text.len());
                }
                items.push(tree);
            }
            return Ok(Tree { place, kind: Kind::List(items) });
        }
        if datum.value().is_cons() {
            let message = "a dotted pair, expected a list".to_owned();
            return Err(Error { place: Some(place), path: String::new(), message });
        }
        Ok(Tree { place, kind: Kind::Atom { text: self.bare(at).to_owned(), quoted: false } })
    }
}
