// Source file of the target whose precompiled headers the unit tests of a
// sanitizer build share.
