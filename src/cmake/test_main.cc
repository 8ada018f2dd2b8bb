// The main function that every unit test program links.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
