//! The capacity page's derived tables, worked out from the results files that benches and the scale run write.
//!
//! A slope is fitted by least squares without the largest size, which it then has to predict. On the page each
//! table stands between `<!-- derived: NAME -->` and `<!-- end -->`; [`render`] writes them all anew.

mod tables;

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use tables::ROLES;
pub use tables::{Role, Row, Shape, Table, TABLES};

/// The schema of both results files.
const SCHEMA: u64 = 1;
/// Fewest sizes of a series.
const FEWEST: usize = 5;
/// A slope that misses the largest size by more, in hundredths, is to be explained on the page.
const MOST_MISS: f64 = 15.0;
const BEGIN: &str = "<!-- derived: ";
const END: &str = "<!-- end -->";

/// Why results or a page can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultsError {
    /// The file can't be read as what it should be: torn, or a figure that is no number.
    Unreadable(String),
    /// The file is of another schema, this one.
    Schema(u64),
    /// A series, phase or role stands twice.
    Twice(String),
    /// A series is not there.
    Missing(String),
    /// A series has no figure, or no finite one, at this size.
    NoFigure(String, String),
    /// A series' sizes do not rise, or are not above zero.
    NotRising(String),
    /// A series has other than one figure for each size, or fewer than five.
    Lengths(String, usize, usize),
    /// A series is in another unit than its row on the page.
    Unit(String, String),
    /// The page's markers: an unknown table, one without an end, one twice, or none for a table.
    Page(String),
}

impl fmt::Display for ResultsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResultsError::Unreadable(why) => write!(f, "the results can't be read: {why}"),
            ResultsError::Schema(found) => write!(f, "results of schema {found}, expected {SCHEMA}"),
            ResultsError::Twice(name) => write!(f, "{name} stands twice in the results"),
            ResultsError::Missing(name) => write!(f, "{name} is not in the results: run its bench"),
            ResultsError::NoFigure(name, at) => {
                write!(f, "{name} has no figure at {at}: run its bench again")
            }
            ResultsError::NotRising(name) => write!(f, "the sizes of {name} do not rise from above 0"),
            ResultsError::Lengths(name, sizes, measured) => {
                write!(f, "{name} has {measured} figures for {sizes} sizes; one each and {FEWEST} are needed")
            }
            ResultsError::Unit(name, unit) => write!(f, "{name} is in {unit}, not as its row on the page"),
            ResultsError::Page(why) => write!(f, "the page: {why}"),
        }
    }
}

impl std::error::Error for ResultsError {}

/// How a series was measured.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Conditions {
    /// The command that measures it again.
    pub command: String,
    /// What was played.
    pub about: String,
    /// Whether nothing else ran on the machine.
    pub quiet: bool,
}

/// One figure at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The figure's unit.
    pub unit: String,
    /// What the sizes count.
    pub size: String,
    /// Rising, and above zero.
    pub sizes: Vec<f64>,
    /// Finite, one for each size.
    pub measured: Vec<f64>,
    /// How it was measured.
    pub conditions: Conditions,
}

/// The series of `docs/capacity/slopes.json`, each whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Slopes(BTreeMap<String, Series>);

#[derive(Deserialize)]
struct Schema {
    schema: u64,
}

#[derive(Deserialize)]
struct SlopesFile {
    series: Vec<RawSeries>,
}

#[derive(Deserialize)]
struct RawSeries {
    name: String,
    unit: String,
    size: String,
    sizes: Vec<f64>,
    measured: Vec<Option<f64>>,
    conditions: Conditions,
}

fn parse<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ResultsError> {
    let unreadable = |error: serde_json::Error| ResultsError::Unreadable(error.to_string());
    let Schema { schema } = serde_json::from_str(text).map_err(unreadable)?;
    if schema != SCHEMA {
        return Err(ResultsError::Schema(schema));
    }
    serde_json::from_str(text).map_err(unreadable)
}

impl Slopes {
    /// Reads a results file.
    ///
    /// # Errors
    ///
    /// When it is damaged in any way, with the series that is.
    pub fn read(text: &str) -> Result<Slopes, ResultsError> {
        let file: SlopesFile = parse(text)?;
        let mut all = BTreeMap::new();
        for raw in file.series {
            let RawSeries { name, unit, size, sizes, measured, conditions } = raw;
            if sizes.len() != measured.len() || sizes.len() < FEWEST {
                return Err(ResultsError::Lengths(name, sizes.len(), measured.len()));
            }
            if sizes[0] <= 0.0 || sizes.windows(2).any(|pair| pair[0] >= pair[1]) {
                return Err(ResultsError::NotRising(name));
            }
            let mut whole = Vec::new();
            for (at, figure) in sizes.iter().zip(measured) {
                match figure.filter(|figure| figure.is_finite()) {
                    Some(figure) => whole.push(figure),
                    None => return Err(ResultsError::NoFigure(name, format!("{at} {size}"))),
                }
            }
            let series = Series { unit, size, sizes, measured: whole, conditions };
            if all.insert(name.clone(), series).is_some() {
                return Err(ResultsError::Twice(name));
            }
        }
        Ok(Slopes(all))
    }

    /// A series by name.
    ///
    /// # Errors
    ///
    /// When it is not there.
    pub fn get(&self, name: &str) -> Result<&Series, ResultsError> {
        self.0.get(name).ok_or_else(|| ResultsError::Missing(name.to_owned()))
    }
}

/// A line through what was measured: `slope` x shape of size + `constant`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The figure's growth with the shape of the size.
    pub slope: f64,
    /// The figure at a shape of nothing.
    pub constant: f64,
}

impl Fit {
    /// By least squares, without the largest size; without the smallest too for what does not grow. The series has at least five rising sizes.
    pub fn of(series: &Series, shape: Shape) -> Fit {
        let kept = series.sizes.len() - 1;
        if shape == Shape::Flat {
            let constant = series.measured[1..kept].iter().sum::<f64>() / (kept - 1) as f64;
            return Fit { slope: 0.0, constant };
        }
        let points = series.sizes[..kept].iter().map(|size| shape.of(*size)).zip(&series.measured[..kept]);
        let count = kept as f64;
        let (mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0);
        for (at, figure) in points {
            x += at;
            y += figure;
            xx += at * at;
            xy += at * figure;
        }
        let slope = (count * xy - x * y) / (count * xx - x * x);
        Fit { slope, constant: (y - slope * x) / count }
    }

    /// The figure at a size.
    pub fn at(&self, shape: Shape, size: f64) -> f64 {
        self.slope * shape.of(size) + self.constant
    }
}

/// A row's fit, and by how many hundredths what was measured at the largest size is above what it predicts.
fn fitted(row: &Row, series: &Series) -> (Fit, f64, f64, f64) {
    let fit = Fit::of(series, row.shape);
    let (size, measured) = (series.sizes[series.sizes.len() - 1], series.measured[series.measured.len() - 1]);
    let predicted = fit.at(row.shape, size);
    (fit, predicted, measured, (measured / predicted - 1.0) * 100.0)
}

/// The series of the page whose slopes miss the largest size by more than 15 %.
///
/// # Errors
///
/// When a series of the page is not there.
pub fn missed(slopes: &Slopes) -> Result<Vec<&'static str>, ResultsError> {
    let mut names = Vec::new();
    for row in TABLES.iter().filter(|table| table.fitted).flat_map(|table| table.rows) {
        let (.., miss) = fitted(row, slopes.get(row.series)?);
        if miss.is_nan() || miss.abs() > MOST_MISS {
            names.push(row.series);
        }
    }
    Ok(names)
}

/// Four digits that count, with commas between thousands.
fn figure(value: f64) -> String {
    let size = value.abs();
    let digits = match size {
        _ if size >= 1_000.0 || size == 0.0 => 0,
        _ if size >= 100.0 => 1,
        _ if size >= 10.0 => 2,
        _ if size >= 1.0 => 3,
        _ => 4,
    };
    let text = format!("{value:.digits$}");
    let (sign, text) = text.strip_prefix('-').map_or(("", text.as_str()), |text| ("-", text));
    let (whole, rest) = text.split_once('.').map_or((text, ""), |(whole, rest)| (whole, rest));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let rest = rest.trim_end_matches('0');
    let point = if rest.is_empty() { "" } else { "." };
    format!("{sign}{grouped}{point}{rest}")
}

fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn head(cells: &[&str]) -> String {
    let cells: Vec<String> = cells.iter().map(|cell| (*cell).to_owned()).collect();
    line(&cells) + &format!("|{}\n", " --- |".repeat(cells.len()))
}

/// A row's series, in the row's unit.
fn checked<'a>(row: &Row, slopes: &'a Slopes) -> Result<&'a Series, ResultsError> {
    let series = slopes.get(row.series)?;
    if series.unit == row.unit {
        Ok(series)
    } else {
        Err(ResultsError::Unit(row.series.to_owned(), series.unit.clone()))
    }
}

fn formula(row: &Row, fit: &Fit) -> String {
    if row.shape == Shape::Flat {
        return figure(fit.constant);
    }
    let sign = if fit.constant < 0.0 { "-" } else { "+" };
    format!("{} x {} {sign} {}", figure(fit.slope), row.shape.name(), figure(fit.constant.abs()))
}

fn at_size(row: &Row, fit: &Fit) -> String {
    format!("{} at {}", figure(fit.at(row.shape, row.at)), figure(row.at))
}

fn budget(row: &Row) -> String {
    row.budget.map_or_else(|| "-".to_owned(), figure)
}

fn margin(row: &Row, fit: &Fit) -> String {
    let at = fit.at(row.shape, row.at);
    match row.budget {
        None => "-".to_owned(),
        Some(budget) if at <= budget => format!("{} x under", figure(budget / at.max(f64::MIN_POSITIVE))),
        Some(budget) => format!("**{} x over**", figure(at / budget)),
    }
}

fn table(table: &Table, slopes: &Slopes) -> Result<String, ResultsError> {
    let series = |row: &Row| checked(row, slopes);
    let quiet = |series: &Series| match (series.unit.starts_with("us"), series.conditions.quiet) {
        (false, _) if series.unit == "bytes" => "resident".to_owned(),
        (false, _) => "exact".to_owned(),
        (true, true) => "yes".to_owned(),
        (true, false) => "no".to_owned(),
    };
    let mut text = String::new();
    if !table.fitted {
        let first = series(&table.rows[0])?;
        let sizes = first.sizes.iter().map(|size| format!("{} {}", figure(*size), first.size));
        let cells: Vec<String> =
            ["what".to_owned()].into_iter().chain(sizes).chain(["quiet".to_owned()]).collect();
        text += &head(&cells.iter().map(String::as_str).collect::<Vec<_>>());
        for row in table.rows {
            let series = series(row)?;
            if series.sizes != first.sizes {
                return Err(ResultsError::Lengths(
                    row.series.to_owned(),
                    first.sizes.len(),
                    series.sizes.len(),
                ));
            }
            let what = format!("{}, {}", row.what, series.unit);
            let figures = series.measured.iter().map(|it| figure(*it));
            let cells = std::iter::once(what).chain(figures).chain([quiet(series)]);
            text += &line(&cells.collect::<Vec<_>>());
        }
        return Ok(text);
    }
    text += &head(&[
        "what",
        "slope x size + constant",
        "size",
        "largest: predicted",
        "measured",
        "miss",
        "at the size designed for",
        "budget",
        "margin",
        "quiet",
    ]);
    for row in table.rows {
        let series = series(row)?;
        let (fit, predicted, measured, miss) = fitted(row, series);
        text += &line(&[
            format!("{}, {} (`{}`)", row.what, series.unit, row.series),
            formula(row, &fit),
            series.size.clone(),
            figure(predicted),
            figure(measured),
            format!("{miss:+.1} %"),
            at_size(row, &fit),
            budget(row),
            margin(row, &fit),
            quiet(series),
        ]);
    }
    Ok(text)
}

/// By role: what stands on a node at the size designed for, and what carries it.
fn roles(slopes: &Slopes) -> Result<String, ResultsError> {
    let mut text = head(&["role", "what", "slope x size + constant", "at", "budget", "margin", "carried by"]);
    for role in ROLES {
        let cells = match &role.row {
            None => ["not measured", "-", "-", "-"].map(str::to_owned),
            Some(row) => {
                let series = checked(row, slopes)?;
                let (fit, ..) = fitted(row, series);
                [formula(row, &fit), at_size(row, &fit), budget(row), margin(row, &fit)]
            }
        };
        let what = match &role.row {
            None => role.what.to_owned(),
            Some(row) => format!("{}: {}, {}", role.what, row.what, row.unit),
        };
        let cells = [role.role.to_owned(), what].into_iter().chain(cells).chain([role.carried.to_owned()]);
        text += &line(&cells.collect::<Vec<_>>());
    }
    Ok(text)
}

/// What one second of one node cost: over all nodes of a role and all seconds of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Spread {
    least: f64,
    median: f64,
    p99: f64,
    most: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
struct RoleCost {
    bytes_sent: Spread,
    bytes_received: Spread,
    messages_sent: Spread,
    messages_received: Spread,
    processor_us: Spread,
    memory_bytes: Spread,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
struct Phase {
    name: String,
    roles: BTreeMap<String, RoleCost>,
}

/// What the scale run wrote to `docs/capacity/scale.json`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Scale {
    phases: Vec<Phase>,
}

impl Scale {
    /// Reads the scale run's results.
    ///
    /// # Errors
    ///
    /// When the file is damaged, a phase stands twice or has no roles, or a spread does not rise.
    pub fn read(text: &str) -> Result<Scale, ResultsError> {
        let scale: Scale = parse(text)?;
        let mut names: Vec<&str> = scale.phases.iter().map(|phase| phase.name.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(ResultsError::Twice(pair[0].to_owned()));
        }
        if names.is_empty() {
            return Err(ResultsError::Missing("a phase of the scale run".to_owned()));
        }
        for phase in &scale.phases {
            if phase.roles.is_empty() {
                return Err(ResultsError::Missing(format!("a role of phase {}", phase.name)));
            }
            for (role, cost) in &phase.roles {
                for (what, spread, _) in cost.spreads() {
                    let rises = [spread.least, spread.median, spread.p99, spread.most];
                    if spread.least < 0.0 || rises.windows(2).any(|pair| pair[0] > pair[1]) {
                        return Err(ResultsError::NotRising(format!("{what} of {role} in {}", phase.name)));
                    }
                }
            }
        }
        Ok(scale)
    }
}

impl RoleCost {
    /// What, how it spread, and the budget of a node.
    fn spreads(&self) -> [(&'static str, Spread, Option<f64>); 6] {
        [
            ("bytes_sent", self.bytes_sent, Some(tables::BYTES)),
            ("bytes_received", self.bytes_received, Some(tables::BYTES)),
            ("messages_sent", self.messages_sent, None),
            ("messages_received", self.messages_received, None),
            ("processor_us", self.processor_us, Some(tables::PROCESSOR)),
            ("memory_bytes", self.memory_bytes, Some(tables::MEMORY)),
        ]
    }
}

fn scale_table(scale: Option<&Scale>) -> String {
    let Some(scale) = scale else {
        return "Not run yet: `docs/capacity/scale.json` is not there.\n".to_owned();
    };
    let mut text = head(&[
        "phase",
        "role",
        "per second of a node",
        "least",
        "median",
        "p99",
        "most",
        "budget",
        "p99 is",
    ]);
    for phase in &scale.phases {
        for (role, cost) in &phase.roles {
            for (what, spread, budget) in cost.spreads() {
                let held = budget.map_or("-", |it| if spread.p99 <= it { "within" } else { "**over**" });
                let figures = [spread.least, spread.median, spread.p99, spread.most].map(figure);
                let cells = [phase.name.clone(), role.clone(), what.to_owned()];
                let budget = budget.map_or_else(|| "-".to_owned(), figure);
                let cells = cells.into_iter().chain(figures).chain([budget, held.to_owned()]);
                text += &line(&cells.collect::<Vec<_>>());
            }
        }
    }
    text
}

/// The page with all its derived tables written anew.
///
/// # Errors
///
/// When a series of a table is not there or in another unit, or the page's markers are not one pair for each table.
pub fn render(page: &str, slopes: &Slopes, scale: Option<&Scale>) -> Result<String, ResultsError> {
    let wrong = |why: String| Err(ResultsError::Page(why));
    let mut text = String::new();
    let mut met: Vec<&str> = Vec::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(BEGIN) {
        let Some((name, after)) = after.split_once(" -->\n") else {
            return wrong("a marker without an end of line".to_owned());
        };
        let Some((old, after)) = after.split_once(END) else {
            return wrong(format!("table {name} has no end"));
        };
        if old.contains(BEGIN) {
            return wrong(format!("table {name} has no end"));
        }
        if met.contains(&name) {
            return wrong(format!("table {name} stands twice"));
        }
        met.push(name);
        let new = match TABLES.iter().find(|table| table.name == name) {
            Some(known) => table(known, slopes)?,
            None if name == "roles" => roles(slopes)?,
            None if name == "scale" => scale_table(scale),
            None => return wrong(format!("table {name} is not known")),
        };
        text += &format!("{before}{BEGIN}{name} -->\n{new}{END}");
        rest = after;
    }
    let all = TABLES.iter().map(|table| table.name).chain(["roles", "scale"]);
    if let Some(name) = all.into_iter().find(|name| !met.contains(name)) {
        return wrong(format!("table {name} is not on it"));
    }
    Ok(text + rest)
}
