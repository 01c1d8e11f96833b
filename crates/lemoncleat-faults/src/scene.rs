//! Fault points in cores of several simulated processes that one thread runs under a virtual clock.
//!
//! The host arms a scene, sets the process that runs next, and checks after each turn whether a fault was
//! triggered. A [`Fault::Kill`] unwinds the turn with [`Killed`]; the host catches it and drops the process.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::{Fault, Point};

/// The panic payload of a turn that is ended at a point.
#[derive(Clone, Copy, Debug)]
pub struct Killed(pub &'static Point);

struct Scene {
    armed: Option<(&'static Point, u32, Fault, Option<usize>)>,
    turn: Option<usize>,
    passes: BTreeMap<u16, u64>,
    fired: Option<(Fault, Option<usize>)>,
}

thread_local! {
    static SCENE: RefCell<Option<Scene>> = const { RefCell::new(None) };
}

pub(crate) enum PassResult {
    Inactive,
    NoFault,
    Inject(Fault),
}

/// Starts a scene on this thread: after `skip` passes of the point by the process `whose`, or by any process,
/// the next pass triggers the fault. Without an armed point passes are only counted.
pub fn begin(armed: Option<(&'static Point, u32, Fault, Option<usize>)>) {
    SCENE.set(Some(Scene { armed, turn: None, passes: BTreeMap::new(), fired: None }));
}

/// Sets the process that runs next.
pub fn turn(process: usize) {
    SCENE.with_borrow_mut(|scene| {
        if let Some(scene) = scene {
            scene.turn = Some(process);
        }
    });
}

/// Returns the fault that was triggered since the last call, and the process that triggered it.
pub fn fired() -> Option<(Fault, Option<usize>)> {
    SCENE.with_borrow_mut(|scene| scene.as_mut().and_then(|scene| scene.fired.take()))
}

/// Returns whether the armed fault has been triggered.
pub fn spent() -> bool {
    SCENE.with_borrow(|scene| scene.as_ref().is_some_and(|scene| scene.armed.is_none()))
}

/// Ends the scene and returns how often each point, by number, was passed.
pub fn end() -> BTreeMap<u16, u64> {
    SCENE.take().map(|scene| scene.passes).unwrap_or_default()
}

pub(crate) fn pass(point: &'static Point) -> PassResult {
    let result = SCENE.with_borrow_mut(|scene| {
        let Some(scene) = scene else { return PassResult::Inactive };
        *scene.passes.entry(point.number).or_default() += 1;
        let Some((armed, skip, fault, whose)) = &mut scene.armed else { return PassResult::NoFault };
        if armed.number != point.number || whose.is_some_and(|whose| scene.turn != Some(whose)) {
            return PassResult::NoFault;
        }
        if *skip > 0 {
            *skip -= 1;
            return PassResult::NoFault;
        }
        let fault = *fault;
        scene.armed = None;
        scene.fired = Some((fault, scene.turn));
        PassResult::Inject(fault)
    });
    if let PassResult::Inject(Fault::Kill) = result {
        // Unwinds without a panic message, because the host expects it.
        std::panic::resume_unwind(Box::new(Killed(point)));
    }
    result
}
