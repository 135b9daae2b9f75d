//! End-to-end tests of fleets of real processes; all code is in `tests/`.
