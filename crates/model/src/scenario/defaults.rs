//! Default values of scenario keys where they differ from the default of the field's type.

use toml::Spanned;

use super::{Idempotency, IdempotencyScope, Machine, RequestClass, Span};

pub(super) fn seed() -> u64 {
    1
}

pub(super) fn balancers() -> Spanned<usize> {
    Spanned::new(0..0, 2)
}

pub(super) fn share() -> f64 {
    1.0
}

pub(super) fn cores() -> usize {
    1
}

pub(super) fn speed() -> [f64; 2] {
    [1.0, 1.0]
}

pub(super) fn scope() -> IdempotencyScope {
    IdempotencyScope::Cell
}

pub(super) fn idempotency_window() -> Span {
    Span(2_500_000)
}

pub(super) fn scatter() -> f64 {
    0.4
}

pub(super) fn machines() -> Vec<Spanned<Machine>> {
    let machine = |name: &str, speed| Machine {
        name: name.into(),
        share: share(),
        cores: cores(),
        speed,
    };
    vec![
        Spanned::new(0..0, machine("quick", [1.2, 1.6])),
        Spanned::new(0..0, machine("slow", [0.7, 0.9])),
    ]
}

/// Creates a request class with the default scope, window and scatter.
fn class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        share: share(),
        idempotency,
        scope: scope(),
        idempotency_window: idempotency_window(),
        work: Span(20_000),
        scatter: scatter(),
        off_core_time: Span(5_000),
        latency_objective: Span(400_000),
        deadline: Span(2_000_000),
        priority_weight: 1.0,
    }
}

pub(super) fn classes() -> Vec<Spanned<RequestClass>> {
    let look = RequestClass {
        share: 0.6,
        deadline: Span(1_500_000),
        ..class("look", Idempotency::Idempotent)
    };
    let order = RequestClass {
        share: 0.25,
        work: Span(25_000),
        latency_objective: Span(500_000),
        priority_weight: 2.0,
        ..class("order", Idempotency::IdempotencyKey)
    };
    let pay = RequestClass {
        share: 0.15,
        work: Span(30_000),
        latency_objective: Span(600_000),
        priority_weight: 3.0,
        ..class("pay", Idempotency::NonIdempotent)
    };
    [look, order, pay]
        .map(|class| Spanned::new(0..0, class))
        .into()
}
