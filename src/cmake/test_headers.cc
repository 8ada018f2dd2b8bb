// Holds the precompiled headers that the unit tests of a sanitizer build share.
