//! Derived tables of the capacity page, computed from the results files of the benches and the scale run.
//!
//! A slope is fitted by least squares without the largest size, and is then checked by predicting it. On the
//! page each table is placed between `<!-- derived: NAME -->` and `<!-- end -->`; [`render`] rewrites all of
//! them.

mod tables;

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use tables::ROLES;
pub use tables::{Role, Row, Shape, Table, TABLES};

/// Schema version of both results files.
const SCHEMA: u64 = 1;
/// Minimum number of sizes in a series.
const MIN_SIZES: usize = 5;
/// Maximum prediction error at the largest size, in per cent; a larger one has to be explained on the page.
const MAX_MISS_PERCENT: f64 = 15.0;
const BEGIN_MARKER: &str = "<!-- derived: ";
const END_MARKER: &str = "<!-- end -->";

/// Error in a results file or in the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultsError {
    /// The file can't be parsed: it is truncated, or a figure is not a number.
    Unreadable(String),
    /// The file has another schema version, which is given.
    Schema(u64),
    /// A series or phase occurs twice.
    Twice(String),
    /// A series, a role or all phases are missing.
    Missing(String),
    /// A series has no finite figure at this size.
    NoFigure(String, String),
    /// The sizes of a series are not strictly increasing from above zero, or a spread is not increasing.
    NotRising(String),
    /// A series does not have exactly one figure per size, or has fewer than five sizes.
    Lengths(String, usize, usize),
    /// The unit of a series differs from that of its row on the page.
    Unit(String, String),
    /// The page's markers are wrong: a table is unknown, unterminated, duplicated or missing.
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
                write!(
                    f,
                    "{name} has {measured} figures for {sizes} sizes; one each and {MIN_SIZES} are needed"
                )
            }
            ResultsError::Unit(name, unit) => write!(f, "{name} is in {unit}, not as its row on the page"),
            ResultsError::Page(why) => write!(f, "the page: {why}"),
        }
    }
}

impl std::error::Error for ResultsError {}

/// Conditions under which a series was measured.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Conditions {
    /// Command that repeats the measurement.
    pub command: String,
    /// Description of the workload.
    pub about: String,
    /// Whether the machine ran nothing else.
    pub quiet: bool,
}

/// Measurements of one quantity at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Unit of the measurements.
    pub unit: String,
    /// Name of what the sizes count.
    pub size: String,
    /// Sizes, strictly increasing from above zero.
    pub sizes: Vec<f64>,
    /// Measurements, all finite, one per size.
    pub measured: Vec<f64>,
    /// Conditions of the measurement.
    pub conditions: Conditions,
}

/// The validated series of `docs/capacity/slopes.json`, by name.
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

fn parse_results<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ResultsError> {
    let unreadable = |error: serde_json::Error| ResultsError::Unreadable(error.to_string());
    let Schema { schema } = serde_json::from_str(text).map_err(unreadable)?;
    if schema != SCHEMA {
        return Err(ResultsError::Schema(schema));
    }
    serde_json::from_str(text).map_err(unreadable)
}

impl Slopes {
    /// Parses a results file.
    ///
    /// # Errors
    ///
    /// Fails when the file is damaged in any way, and names the damaged series.
    pub fn read(text: &str) -> Result<Slopes, ResultsError> {
        let file: SlopesFile = parse_results(text)?;
        let mut all = BTreeMap::new();
        for raw in file.series {
            let RawSeries { name, unit, size, sizes, measured, conditions } = raw;
            if sizes.len() != measured.len() || sizes.len() < MIN_SIZES {
                return Err(ResultsError::Lengths(name, sizes.len(), measured.len()));
            }
            if sizes[0] <= 0.0 || sizes.windows(2).any(|pair| pair[0] >= pair[1]) {
                return Err(ResultsError::NotRising(name));
            }
            let mut finite = Vec::new();
            for (at, figure) in sizes.iter().zip(measured) {
                match figure.filter(|figure| figure.is_finite()) {
                    Some(figure) => finite.push(figure),
                    None => return Err(ResultsError::NoFigure(name, format!("{at} {size}"))),
                }
            }
            let series = Series { unit, size, sizes, measured: finite, conditions };
            if all.insert(name.clone(), series).is_some() {
                return Err(ResultsError::Twice(name));
            }
        }
        Ok(Slopes(all))
    }

    /// Returns a series by name.
    ///
    /// # Errors
    ///
    /// Fails when there is no such series.
    pub fn get(&self, name: &str) -> Result<&Series, ResultsError> {
        self.0.get(name).ok_or_else(|| ResultsError::Missing(name.to_owned()))
    }
}

/// Linear fit of measurements: `slope` x shape of size + `constant`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth with the shape of the size.
    pub slope: f64,
    /// Value where the shape is zero.
    pub constant: f64,
}

impl Fit {
    /// Fits a series by least squares without its largest size; for [`Shape::Flat`], takes the mean without
    /// the smallest size too. The series must have at least five increasing sizes.
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

    /// Returns the fitted value at a size.
    pub fn at(&self, shape: Shape, size: f64) -> f64 {
        self.slope * shape.of(size) + self.constant
    }
}

/// Returns a row's fit and, for the largest size, the prediction, the measurement, and by how many per cent
/// the measurement exceeds the prediction.
fn fit_row(row: &Row, series: &Series) -> (Fit, f64, f64, f64) {
    let fit = Fit::of(series, row.shape);
    let (size, measured) = (series.sizes[series.sizes.len() - 1], series.measured[series.measured.len() - 1]);
    let predicted = fit.at(row.shape, size);
    (fit, predicted, measured, (measured / predicted - 1.0) * 100.0)
}

/// Returns the series of the page whose fit misses the largest size by more than 15 %.
///
/// # Errors
///
/// Fails when a series of the page is missing.
pub fn missed(slopes: &Slopes) -> Result<Vec<&'static str>, ResultsError> {
    let mut names = Vec::new();
    for row in TABLES.iter().filter(|table| table.fitted).flat_map(|table| table.rows) {
        let (.., miss) = fit_row(row, slopes.get(row.series)?);
        if miss.is_nan() || miss.abs() > MAX_MISS_PERCENT {
            names.push(row.series);
        }
    }
    Ok(names)
}

/// Formats a value with about four significant digits and commas between thousands.
fn format_figure(value: f64) -> String {
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

fn table_row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn table_head(cells: &[&str]) -> String {
    let cells: Vec<String> = cells.iter().map(|cell| (*cell).to_owned()).collect();
    table_row(&cells) + &format!("|{}\n", " --- |".repeat(cells.len()))
}

/// Returns a row's series, after checking that its unit is the row's.
fn series_of<'a>(row: &Row, slopes: &'a Slopes) -> Result<&'a Series, ResultsError> {
    let series = slopes.get(row.series)?;
    if series.unit == row.unit {
        Ok(series)
    } else {
        Err(ResultsError::Unit(row.series.to_owned(), series.unit.clone()))
    }
}

fn formula(row: &Row, fit: &Fit) -> String {
    if row.shape == Shape::Flat {
        return format_figure(fit.constant);
    }
    let sign = if fit.constant < 0.0 { "-" } else { "+" };
    format!(
        "{} x {} {sign} {}",
        format_figure(fit.slope),
        row.shape.name(),
        format_figure(fit.constant.abs())
    )
}

fn at_design_size(row: &Row, fit: &Fit) -> String {
    format!("{} at {}", format_figure(fit.at(row.shape, row.at)), format_figure(row.at))
}

fn budget(row: &Row) -> String {
    row.budget.map_or_else(|| "-".to_owned(), format_figure)
}

fn margin(row: &Row, fit: &Fit) -> String {
    let at = fit.at(row.shape, row.at);
    match row.budget {
        None => "-".to_owned(),
        Some(budget) if at <= budget => {
            format!("{} x under", format_figure(budget / at.max(f64::MIN_POSITIVE)))
        }
        Some(budget) => format!("**{} x over**", format_figure(at / budget)),
    }
}

fn format_table(table: &Table, slopes: &Slopes) -> Result<String, ResultsError> {
    let series = |row: &Row| series_of(row, slopes);
    let quiet = |series: &Series| match (series.unit.starts_with("us"), series.conditions.quiet) {
        (false, _) if series.unit == "bytes" => "resident".to_owned(),
        (false, _) => "exact".to_owned(),
        (true, true) => "yes".to_owned(),
        (true, false) => "no".to_owned(),
    };
    let mut text = String::new();
    if !table.fitted {
        let first = series(&table.rows[0])?;
        let sizes = first.sizes.iter().map(|size| format!("{} {}", format_figure(*size), first.size));
        let cells: Vec<String> =
            ["what".to_owned()].into_iter().chain(sizes).chain(["quiet".to_owned()]).collect();
        text += &table_head(&cells.iter().map(String::as_str).collect::<Vec<_>>());
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
            let figures = series.measured.iter().map(|it| format_figure(*it));
            let cells = std::iter::once(what).chain(figures).chain([quiet(series)]);
            text += &table_row(&cells.collect::<Vec<_>>());
        }
        return Ok(text);
    }
    text += &table_head(&[
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
        let (fit, predicted, measured, miss) = fit_row(row, series);
        text += &table_row(&[
            format!("{}, {} (`{}`)", row.what, series.unit, row.series),
            formula(row, &fit),
            series.size.clone(),
            format_figure(predicted),
            format_figure(measured),
            format!("{miss:+.1} %"),
            at_design_size(row, &fit),
            budget(row),
            margin(row, &fit),
            quiet(series),
        ]);
    }
    Ok(text)
}

/// Formats the table of roles: the load on a node at the design size, and the code that carries it.
fn format_roles(slopes: &Slopes) -> Result<String, ResultsError> {
    let mut text =
        table_head(&["role", "what", "slope x size + constant", "at", "budget", "margin", "carried by"]);
    for role in ROLES {
        let cells = match &role.row {
            None => ["not measured", "-", "-", "-"].map(str::to_owned),
            Some(row) => {
                let series = series_of(row, slopes)?;
                let (fit, ..) = fit_row(row, series);
                [formula(row, &fit), at_design_size(row, &fit), budget(row), margin(row, &fit)]
            }
        };
        let what = match &role.row {
            None => role.what.to_owned(),
            Some(row) => format!("{}: {}, {}", role.what, row.what, row.unit),
        };
        let cells = [role.role.to_owned(), what].into_iter().chain(cells).chain([role.carried.to_owned()]);
        text += &table_row(&cells.collect::<Vec<_>>());
    }
    Ok(text)
}

/// Distribution of a quantity per node and second, over all nodes of a role and all seconds of a phase.
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

/// Results of the scale run, as written to `docs/capacity/scale.json`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Scale {
    phases: Vec<Phase>,
}

impl Scale {
    /// Parses the results of the scale run.
    ///
    /// # Errors
    ///
    /// Fails when the file is damaged, a phase occurs twice or has no roles, or a spread is not increasing.
    pub fn read(text: &str) -> Result<Scale, ResultsError> {
        let scale: Scale = parse_results(text)?;
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
                    let values = [spread.least, spread.median, spread.p99, spread.most];
                    if spread.least < 0.0 || values.windows(2).any(|pair| pair[0] > pair[1]) {
                        return Err(ResultsError::NotRising(format!("{what} of {role} in {}", phase.name)));
                    }
                }
            }
        }
        Ok(scale)
    }
}

impl RoleCost {
    /// Returns each quantity with its distribution and the budget of a node.
    fn spreads(&self) -> [(&'static str, Spread, Option<f64>); 6] {
        [
            ("bytes_sent", self.bytes_sent, Some(tables::BYTES_PER_S)),
            ("bytes_received", self.bytes_received, Some(tables::BYTES_PER_S)),
            ("messages_sent", self.messages_sent, None),
            ("messages_received", self.messages_received, None),
            ("processor_us", self.processor_us, Some(tables::PROCESSOR_US_PER_S)),
            ("memory_bytes", self.memory_bytes, Some(tables::MEMORY_BYTES)),
        ]
    }
}

fn format_scale(scale: Option<&Scale>) -> String {
    let Some(scale) = scale else {
        return "Not run yet: `docs/capacity/scale.json` is not there.\n".to_owned();
    };
    let mut text = table_head(&[
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
                let verdict = budget.map_or("-", |it| if spread.p99 <= it { "within" } else { "**over**" });
                let figures = [spread.least, spread.median, spread.p99, spread.most].map(format_figure);
                let cells = [phase.name.clone(), role.clone(), what.to_owned()];
                let budget = budget.map_or_else(|| "-".to_owned(), format_figure);
                let cells = cells.into_iter().chain(figures).chain([budget, verdict.to_owned()]);
                text += &table_row(&cells.collect::<Vec<_>>());
            }
        }
    }
    text
}

/// Returns the page with all its derived tables rewritten.
///
/// # Errors
///
/// Fails when a series of a table is missing or in another unit, or the page does not have exactly one pair
/// of markers for each table.
pub fn render(page: &str, slopes: &Slopes, scale: Option<&Scale>) -> Result<String, ResultsError> {
    let bad_page = |why: String| Err(ResultsError::Page(why));
    let mut text = String::new();
    let mut found: Vec<&str> = Vec::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(BEGIN_MARKER) {
        let Some((name, after)) = after.split_once(" -->\n") else {
            return bad_page("a marker without an end of line".to_owned());
        };
        let Some((old, after)) = after.split_once(END_MARKER) else {
            return bad_page(format!("table {name} has no end"));
        };
        if old.contains(BEGIN_MARKER) {
            return bad_page(format!("table {name} has no end"));
        }
        if found.contains(&name) {
            return bad_page(format!("table {name} stands twice"));
        }
        found.push(name);
        let new = match TABLES.iter().find(|table| table.name == name) {
            Some(known) => format_table(known, slopes)?,
            None if name == "roles" => format_roles(slopes)?,
            None if name == "scale" => format_scale(scale),
            None => return bad_page(format!("table {name} is not known")),
        };
        text += &format!("{before}{BEGIN_MARKER}{name} -->\n{new}{END_MARKER}");
        rest = after;
    }
    let all = TABLES.iter().map(|table| table.name).chain(["roles", "scale"]);
    if let Some(name) = all.into_iter().find(|name| !found.contains(name)) {
        return bad_page(format!("table {name} is not on it"));
    }
    Ok(text + rest)
}
