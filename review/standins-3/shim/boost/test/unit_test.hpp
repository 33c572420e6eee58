// The scripts of this review link testing/support_platform.cc, which uses one macro of Boost.Test.
// The build of the deploy file does not bring that library, so this header stands in for it.
#pragma once
#include <cstdio>
#include <cstdlib>
#define BOOST_REQUIRE(condition) \
    do { \
        if (!(condition)) { \
            std::fprintf(stderr, "cannot run: %s\n", #condition); \
            std::exit(2); \
        } \
    } while (false)
