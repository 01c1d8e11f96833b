//! Points in cores that one thread plays, many processes' worth of them, under a virtual clock.
//!
//! The host arms a scene, marks which process it is about to give a turn, and reads after the turn what happened.
//! A [`Fault::Kill`] unwinds the turn with [`Killed`]; the host catches it and drops the process.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::{Fault, Point};

/// What a turn that is ended at a point unwinds with.
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

pub(crate) enum Pass {
    NoScene,
    Nothing,
    Do(Fault),
}

/// Begins a scene on this thread: the `skip`-th pass of the point after this one, by the process `whose` or by
/// any, meets the fault. Without an armed point passes are only counted.
pub fn begin(armed: Option<(&'static Point, u32, Fault, Option<usize>)>) {
    SCENE.set(Some(Scene { armed, turn: None, passes: BTreeMap::new(), fired: None }));
}

/// The process that gets the next turns.
pub fn turn(process: usize) {
    SCENE.with_borrow_mut(|scene| {
        if let Some(scene) = scene {
            scene.turn = Some(process);
        }
    });
}

/// The fault that was met since the last call, and by which process.
pub fn fired() -> Option<(Fault, Option<usize>)> {
    SCENE.with_borrow_mut(|scene| scene.as_mut().and_then(|scene| scene.fired.take()))
}

/// Whether the armed point has been met.
pub fn spent() -> bool {
    SCENE.with_borrow(|scene| scene.as_ref().is_some_and(|scene| scene.armed.is_none()))
}

/// Ends the scene and tells how often each point, by number, was passed.
pub fn end() -> BTreeMap<u16, u64> {
    SCENE.take().map(|scene| scene.passes).unwrap_or_default()
}

pub(crate) fn pass(point: &'static Point) -> Pass {
    let pass = SCENE.with_borrow_mut(|scene| {
        let Some(scene) = scene else { return Pass::NoScene };
        *scene.passes.entry(point.number).or_default() += 1;
        let Some((armed, skip, fault, whose)) = &mut scene.armed else { return Pass::Nothing };
        if armed.number != point.number || whose.is_some_and(|whose| scene.turn != Some(whose)) {
            return Pass::Nothing;
        }
        if *skip > 0 {
            *skip -= 1;
            return Pass::Nothing;
        }
        let fault = *fault;
        scene.armed = None;
        scene.fired = Some((fault, scene.turn));
        Pass::Do(fault)
    });
    if let Pass::Do(Fault::Kill) = pass {
        // Unwinds without a message: the host expects it.
        std::panic::resume_unwind(Box::new(Killed(point)));
    }
    pass
}
