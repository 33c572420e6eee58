# The network shell: everything that includes cpprest, nng or log4cxx headers.
if(NET_LIST)
  add_library(burdockhold_net STATIC ${NET_LIST})
  target_link_libraries(burdockhold_net PUBLIC burdockhold_core burdockhold_router cpprest Boost::system
                        OpenSSL::SSL nng log4cxx)
  target_precompile_headers(burdockhold_net PRIVATE <cpprest/http_client.h>
                            <cpprest/producerconsumerstream.h>)
endif()

foreach(program burdockholdd burdockholdctl)
  if(EXISTS ${CMAKE_SOURCE_DIR}/tools/${program}.cc)
    add_executable(${program} tools/${program}.cc)
    target_link_libraries(${program} PRIVATE burdockhold_net Boost::program_options)
  endif()
endforeach()

target_link_libraries(burdockholdctl PRIVATE platform_commands)

# Stand-ins for the platform and the endpoints, one program with roles. They and the test support
# use plain sockets, so that tests control every byte and every close; they do not link the shell.
file(GLOB STANDIN_SOURCES CONFIGURE_DEPENDS testing/standin*.cc)
list(FILTER STANDIN_SOURCES EXCLUDE REGEX "_nettest\\.cc$")
if(STANDIN_SOURCES)
  add_executable(standin ${STANDIN_SOURCES})
  target_link_libraries(standin PRIVATE burdockhold_core Boost::program_options)
endif()

# Tests of the shell and of real processes: testing/NAME_nettest.cc.
file(GLOB NET_TESTS CONFIGURE_DEPENDS testing/*_nettest.cc)
file(GLOB NET_TEST_SUPPORT CONFIGURE_DEPENDS testing/support_*.cc)
list(FILTER NET_TEST_SUPPORT EXCLUDE REGEX "support_(platform|slow_link)\\.cc$")
if(NET_TEST_SUPPORT)
  add_library(test_support STATIC ${NET_TEST_SUPPORT})
  target_link_libraries(test_support PUBLIC burdockhold_core)
endif()
foreach(test_source ${NET_TESTS})
  get_filename_component(test_name ${test_source} NAME_WE)
  add_executable(${test_name} ${test_source})
  target_compile_definitions(${test_name} PRIVATE BOOST_TEST_DYN_LINK
                             BURDOCKHOLD_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                             BURDOCKHOLD_BINARY_DIR="${CMAKE_BINARY_DIR}")
  target_link_libraries(${test_name} PRIVATE burdockhold_core Boost::unit_test_framework)
  if(NET_LIST)
    target_link_libraries(${test_name} PRIVATE burdockhold_net)
  endif()
  if(NET_TEST_SUPPORT)
    target_link_libraries(${test_name} PRIVATE test_support)
  endif()
  foreach(program standin burdockholdd burdockholdctl)
    if(TARGET ${program})
      add_dependencies(${test_name} ${program})
    endif()
  endforeach()
  add_test(NAME ${test_name} COMMAND ${test_name})
  # Process tests share the machine; they run one at a time so that no verdict depends on load.
  set_tests_properties(${test_name} PROPERTIES LABELS net TIMEOUT 120 RUN_SERIAL TRUE)
endforeach()

# The platform's router against the engine program.
add_dependencies(engine_notices_nettest burdockhold-router)
target_link_libraries(engine_notices_nettest PRIVATE router_test_support)

# The daemon under crowds of clients, with a fake engine of the router's test support.
add_dependencies(daemon_crowds_looptest standin burdockholdd)
target_compile_definitions(daemon_crowds_looptest PRIVATE
                           BURDOCKHOLD_BINARY_DIR="${CMAKE_BINARY_DIR}")
target_link_libraries(daemon_crowds_looptest PRIVATE test_support)
