package io.azurestage.bench;

import java.time.Duration;

/** A part of an experiment with constant load. */
record Phase(String name, Duration length) {}
