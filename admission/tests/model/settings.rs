//! Random settings of a server.

use std::time::Duration;

use oakwind_admission::{Class, Dependency, Effect, Preemption, Settings, Signal};

use crate::random::SeededRandom;

/// A duration of `n` milliseconds.
pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A random class. With `wide_range`, deadlines range from half a second to a minute.
fn random_class(random: &mut SeededRandom, wide_range: bool) -> Class {
    let effects = [Effect::Idempotent, Effect::IdempotencyKey, Effect::AtMostOnce];
    Class {
        latency_objective: if wide_range {
            ms(100) * 200_f64.powf(random.below(100) as f64 / 100.0) as u32
        } else {
            ms(300 + random.below(2000))
        },
        deadline: if wide_range {
            ms(500) * 120_f64.powf(random.below(101) as f64 / 100.0) as u32
        } else {
            ms(1500 + random.below(4000))
        },
        effect: effects[random.below(3) as usize],
        idempotency_window: ms(500 + random.below(6000)),
        weight: 1.0 + random.below(5) as f64,
        late_weight: if random.chance(50) { 0.2 } else { 0.0 },
        may_call: random.chance(50),
        skip_weight: if random.chance(30) { 0.5 } else { 0.0 },
        ..Class::default()
    }
}

fn random_dependency(random: &mut SeededRandom) -> Dependency {
    match random.below(3) {
        0 => Dependency::Off,
        1 => Dependency::Tier,
        _ => Dependency::Shared {
            share: 0.3 + random.below(60) as f64 / 10.0,
            averaging_time: ms(5000),
            linger: ms(200),
        },
    }
}

/// Random settings of a server.
pub(crate) fn random_settings(random: &mut SeededRandom) -> Settings {
    let wide_range = random.chance(50);
    let classes = (0..=random.below(4)).map(|_| random_class(random, wide_range)).collect();
    let dependency = random_dependency(random);
    let preemption = random.below(3) as usize;
    Settings {
        classes,
        dependency,
        preemption: [Preemption::Off, Preemption::Drop, Preemption::Pause][preemption],
        signal: [Signal::Off, Signal::MinRank, Signal::Credit, Signal::Weight][random.below(4) as usize],
        tenant_quotas: if random.chance(50) { vec![3.0, 9.0] } else { Vec::new() },
        over_quota_weight: 0.1,
        weight_by_work: random.chance(50),
        response_reuse: if random.chance(20) { ms(1000) } else { Duration::ZERO },
        cores: 1 + random.below(8) as u32,
        memory_kb: 200.0 + random.below(5000) as f64,
        running_memory_factor: 1.0 + random.below(16) as f64,
        key_memory_kb: random.below(40) as f64,
        cold: random.chance(40),
        cold_speed: 0.2,
        warm_up_time: ms(9000),
        sends_deadline: random.chance(50),
        max_concurrency_per_core: 2.0 + random.below(7) as f64,
        retry_after: random.chance(70),
        servers: 1 + random.below(12) as u32,
        callers: random.below(6) as u32,
        ..Settings::default()
    }
}
