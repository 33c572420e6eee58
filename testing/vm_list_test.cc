#define BOOST_TEST_MODULE vm_list
#include <boost/test/unit_test.hpp>

#include "burdockhold/vm_list.h"

using namespace burdockhold;

// Guards against rows whose addresses or states are assigned to the wrong fields.
BOOST_AUTO_TEST_CASE(readsRows)
{
    const auto rows = parseVmList(R"({"vms":[
        {"name":"a","data_centre":"d1","peer":"tcp://127.0.0.1:1","admin":"http://127.0.0.1:2",
         "state":"live"},
        {"name":"b","data_centre":"d2","peer":"tcp://127.0.0.1:3","admin":"","state":"leaving"}]})");
    BOOST_REQUIRE(isOk(rows));
    BOOST_REQUIRE(valueOf(rows).size() == 2U);
    BOOST_TEST(valueOf(rows)[0].peer == "tcp://127.0.0.1:1");
    BOOST_TEST(valueOf(rows)[0].vm.dataCentre == "d1");
    BOOST_TEST((valueOf(rows)[0].vm.state == vm_state::Live));
    BOOST_TEST((valueOf(rows)[1].vm.state == vm_state::Leaving));
}

// Guards against accepting part of a malformed list: a missing VM would make a minority a majority.
BOOST_AUTO_TEST_CASE(refusesMalformedLists)
{
    for (const char *text :
         { "", "[]", "{}", R"({"vms":1})", R"({"vms":[1]})",
           R"({"vms":[{"name":"","state":"live"}]})", R"({"vms":[{"name":"a","state":"gone"}]})",
           R"({"vms":[{"name":"a"}]})",
           R"({"vms":[{"name":"a","state":"live"},{"name":"a","state":"live"}]})" })
        BOOST_TEST(!isOk(parseVmList(text)), text);
}
