//! `lemoncleat lab glare`: dual seizure by selection order and load.

use std::path::Path;

use lemoncleat_lab::{glare_run, GlareRun};
use lemoncleat_node::circuits::audit::Audits;
use lemoncleat_node::circuits::Order;
use plotters::prelude::*;

use crate::args::GlareArgs;
use crate::Failure;

/// Offered load of both ends together, as a fraction of the number of circuits.
const LOADS: [f64; 7] = [0.2, 0.4, 0.6, 0.8, 0.9, 1.0, 1.2];

struct GlareRates {
    yields: f64,
    lost: f64,
}

pub fn run(args: &GlareArgs) -> Result<(), Failure> {
    if args.circuits == 0 || args.circuits > 10_000 || args.seeds == 0 || args.seeds > 1_000 {
        return Err(Failure::Usage("expected 1 to 10000 circuits and 1 to 1000 seeds".to_owned()));
    }
    println!(
        "{} circuits, both ends seize at the same instants, {} seeds of {}; simulated",
        args.circuits, args.seeds, args.duration
    );
    println!(
        "calls that yielded in 1,000 (and of those given up for it), by load of both ends over circuits:"
    );
    print!("{:<12}", "order");
    LOADS.iter().for_each(|load| print!("{load:>14.1}"));
    println!();
    let mut curves = Vec::new();
    let mut all_sound = true;
    for order in Order::ALL {
        print!("{:<12}", format!("{order:?}"));
        let mut curve = Vec::new();
        for load in LOADS {
            let (mut calls, mut yields, mut lost) = (0, 0, 0);
            for seed in 0..args.seeds {
                let result = glare_run(&GlareRun {
                    sizes: [args.circuits; 2],
                    orders: [order; 2],
                    load: load * f64::from(args.circuits) / 2.0,
                    duration: args.duration.0,
                    in_step: true,
                    seed,
                    ..GlareRun::default()
                });
                all_sound &= result.sound();
                calls += result.calls;
                yields += result.yields;
                lost += result.lost_to_glare;
            }
            let per_thousand = |count: u64| count as f64 * 1_000.0 / calls.max(1) as f64;
            let rates = GlareRates { yields: per_thousand(yields), lost: per_thousand(lost) };
            print!("{:>14}", format!("{:.1} ({:.2})", rates.yields, rates.lost));
            curve.push((load, rates));
        }
        println!();
        curves.push((order, curve));
    }
    print_audits(args)?;
    if let Some(file) = &args.plot {
        write_plot(file, &curves).map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
        println!("plot written to {}", file.display());
    }
    if all_sound {
        println!("no circuit lost or shared, every call answered once");
        Ok(())
    } else {
        println!("A CIRCUIT WAS LOST OR SHARED, OR A CALL MISCOUNTED");
        Err(Failure::Reported)
    }
}

/// Prints the time until audits find stuck circuits, and the number of audit questions that this takes.
fn print_audits(args: &GlareArgs) -> Result<(), Failure> {
    println!("one end loses its state without notice: time until both ends agree, and questions per minute:");
    for round in [1_000_000, 4_000_000, 10_000_000, 30_000_000] {
        let (mut time, mut questions) = (0.0, 0.0);
        for seed in 0..args.seeds {
            let result = glare_run(&GlareRun {
                sizes: [args.circuits; 2],
                load: 0.4 * f64::from(args.circuits),
                duration: 60_000_000,
                restarts: vec![(60_000_000, 1)],
                resets_after_restart: false,
                audits: Some(Audits { round, ..Audits::default() }),
                seed,
                ..GlareRun::default()
            });
            let length = 60e6 + result.agreed_after as f64;
            time += result.agreed_after as f64 / 1e6;
            questions += result.questions as f64 * 60e6 / length;
        }
        let mean = |sum: f64| sum / args.seeds as f64;
        println!(
            "  round {:>3} s: {:>6.1} s, {:>6.1} questions",
            round / 1_000_000,
            mean(time),
            mean(questions)
        );
    }
    Ok(())
}

fn write_plot(
    file: &Path,
    curves: &[(Order, Vec<(f64, GlareRates)>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let most = curves.iter().flat_map(|(_, curve)| curve).map(|(_, f)| f.yields).fold(1.0, f64::max);
    let area = SVGBackend::new(file, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(55)
        .build_cartesian_2d(0.2f64..1.2, 0.0f64..most * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("offered load of both ends, erlangs a circuit")
        .y_desc("calls in 1,000 that yielded (simulated)")
        .draw()?;
    for (index, (order, curve)) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(2);
        let points: Vec<(f64, f64)> = curve.iter().map(|(load, rates)| (*load, rates.yields)).collect();
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(format!("{order:?}"))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
