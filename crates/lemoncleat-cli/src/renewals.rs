//! `lemoncleat lab renewals`: simulates when the nodes of a fleet request certificates from the authority.

use std::path::Path;

use lemoncleat_lab::{fleet_run, FleetPlan, FleetRun};
use plotters::prelude::*;

use crate::args::RenewalsArgs;
use crate::Failure;

const DAY_SECONDS: i64 = 86_400;

pub fn run(args: &RenewalsArgs) -> Result<(), Failure> {
    if args.nodes == 0 || args.nodes > 100_000 {
        return Err(Failure::Usage("expected 1 to 100000 nodes".to_owned()));
    }
    let always_available = FleetRun {
        nodes: args.nodes,
        lifetime: 90 * DAY_SECONDS,
        away: (0, 0),
        length: 86 * DAY_SECONDS,
        seed: args.seed,
    };
    let cases = [
        ("always there", always_available),
        (
            "away from day 55 to 75",
            FleetRun { away: (55 * DAY_SECONDS, 75 * DAY_SECONDS), ..always_available },
        ),
        (
            "away from day 55 to 89.9",
            FleetRun {
                away: (55 * DAY_SECONDS, 89 * DAY_SECONDS + 78_000),
                length: 92 * DAY_SECONDS,
                ..always_available
            },
        ),
    ];
    let plans = [
        ("planner", FleetPlan::Planner(lemoncleat_certificates::Policy::default())),
        ("fixed date, again each hour", FleetPlan::Fixed(3_600)),
    ];
    println!("{} nodes with certificates of 90 days, all got at once; simulated", args.nodes);
    println!(
        "{:<26} {:<28} {:>9} {:>9} {:>12} {:>10} {:>6}",
        "authority", "plan", "tries/h", "/min", "/min at back", "in vain", "bare"
    );
    let mut curves = Vec::new();
    for (index, (authority, run)) in cases.iter().enumerate() {
        for (name, plan) in plans {
            let result = fleet_run(run, plan);
            let busiest = result.hours.iter().max().copied().unwrap_or(0);
            println!(
                "{authority:<26} {name:<28} {busiest:>9} {:>9} {:>12} {:>10} {:>6}",
                result.busiest_minute, result.busiest_minute_back, result.in_vain, result.bare
            );
            if index == 1 {
                curves.push((name, result.hours));
            }
        }
    }
    println!(
        "tries/h, /min: most in one hour, one minute; bare: nodes that were without a valid certificate"
    );
    if let Some(file) = &args.plot {
        write_plot(file, &curves).map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
        println!("plot written to {}", file.display());
    }
    Ok(())
}

fn write_plot(file: &Path, curves: &[(&str, Vec<u32>)]) -> Result<(), Box<dyn std::error::Error>> {
    let most = curves.iter().flat_map(|(_, hours)| hours).copied().max().unwrap_or(1).max(1);
    let area = SVGBackend::new(file, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(54.0f64..86.0, (0.8f64..f64::from(most) * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("days after all certificates were got; the authority is away from 55 to 75")
        .y_desc("tries in an hour (simulated)")
        .draw()?;
    for (index, (name, hours)) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(1);
        let points = hours.iter().enumerate().map(|(hour, tries)| (hour as f64 / 24.0, f64::from(*tries)));
        let points: Vec<(f64, f64)> = points.filter(|(day, _)| (54.0..86.0).contains(day)).collect();
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label((*name).to_owned())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
