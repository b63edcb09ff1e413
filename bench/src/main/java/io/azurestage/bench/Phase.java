package io.azurestage.bench;

import java.time.Duration;

/** A time span of a load plan in which the rates are constant. */
record Phase(String name, Duration length) {}
