# The event-loop router and its adapter to the platform. It needs neither cpprest nor nng nor
# log4cxx, so the platform builds it alone: -DBURDOCKHOLD_ROUTER_ONLY=ON.
set(ROUTER_DECISIONS
    attempt_rules.cc decision_log.cc deployment.cc duty_lease.cc endpoint_choice.cc
    endpoint_health.cc endpoint_table.cc event_splitter.cc quota_ledger.cc router_metrics.cc
    router_settings.cc saved_parts.cc vm_digest.cc weights_orders.cc)
list(TRANSFORM ROUTER_DECISIONS PREPEND ${CMAKE_SOURCE_DIR}/burdockhold/)
file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
file(GLOB LOOP_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/burdockhold/loop_*.cc)

add_library(burdockhold_router STATIC ${ROUTER_DECISIONS} ${PLATFORM_SOURCES} ${LOOP_SOURCES}
            ${CMAKE_SOURCE_DIR}/burdockhold/router_board.cc)
target_link_libraries(burdockhold_router PUBLIC Boost::boost Threads::Threads xxhash
                      nlohmann_json::nlohmann_json)
add_executable(burdockhold-router ${CMAKE_SOURCE_DIR}/tools/burdockhold_router.cc)
target_link_libraries(burdockhold-router PRIVATE burdockhold_router Boost::program_options)
