// Catch2's main for the unit tests, compiled once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
