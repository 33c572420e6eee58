# The event-loop router and its adapter to the platform. It needs neither cpprest nor nng nor
# log4cxx, so the platform builds it alone: -DBURDOCKHOLD_ROUTER_ONLY=ON.
set(ROUTER_DECISIONS
    attempt_rules.cc brittle_endpoints.cc chunk_holdback.cc cold_engines.cc cold_grants.cc crash_fingerprints.cc decision_log.cc decision_options.cc
    deployment.cc deployment_history.cc deployment_part.cc digest_summary.cc duty_lease.cc
    endpoint_choice.cc endpoint_contact.cc endpoint_health.cc endpoint_pause.cc endpoint_table.cc engine_lanes.cc
    engine_pace.cc entry_silence.cc evacuations.cc event_splitter.cc json_depth.cc known_vms.cc
    left_out.cc mechanisms.cc memory_budget.cc message_framing.cc move_evidence.cc
    overload_admission.cc pace_limit.cc placement_log.cc placement_scheduler.cc pool_paces.cc
    prompt_segments.cc quota_ledger.cc region_rules.cc relay_message.cc request_admission.cc request_log.cc request_waiting.cc
    retry_limit.cc retry_slack.cc
    rollout_sampler.cc router_metrics.cc router_settings.cc scheduler_message.cc
    segment_transfer.cc software_rollout.cc stored_segments.cc
    topic_changelog.cc view_message.cc view_source.cc view_timing.cc vm_digest.cc wait_rules.cc waiting_room.cc
    weights_load_estimator.cc weights_rollout.cc)
list(TRANSFORM ROUTER_DECISIONS PREPEND ${CMAKE_SOURCE_DIR}/burdockhold/)
file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
list(REMOVE_ITEM PLATFORM_SOURCES ${CMAKE_SOURCE_DIR}/platform/config_places.cc)

if(TARGET burdockhold_core)
  add_library(burdockhold_router STATIC ${PLATFORM_SOURCES} ${EVENT_LOOP_SOURCES})
  target_link_libraries(burdockhold_router PUBLIC burdockhold_core)
  add_library(platform_commands STATIC ${PLATFORM_COMMANDS})
  target_link_libraries(platform_commands PUBLIC burdockhold_router)
else()
  add_library(burdockhold_router STATIC ${ROUTER_DECISIONS} ${PLATFORM_SOURCES}
              ${EVENT_LOOP_SOURCES})
endif()
target_link_libraries(burdockhold_router PUBLIC Boost::boost Threads::Threads xxhash
                      nlohmann_json::nlohmann_json)
add_executable(burdockhold-router ${CMAKE_SOURCE_DIR}/tools/burdockhold_router.cc)
target_link_libraries(burdockhold-router PRIVATE burdockhold_router Boost::program_options)

# Tests of the adapter and the loop: testing/NAME_looptest.cc.
file(GLOB LOOP_TESTS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/testing/*_looptest.cc)
if(TARGET burdockhold_core)
  add_library(router_test_support STATIC ${CMAKE_SOURCE_DIR}/testing/support_address.cc
              ${CMAKE_SOURCE_DIR}/testing/support_platform.cc)
  target_compile_definitions(router_test_support PRIVATE
                             BURDOCKHOLD_ROUTER="$<TARGET_FILE:burdockhold-router>")
  target_link_libraries(router_test_support PUBLIC burdockhold_core
                        PRIVATE Boost::unit_test_framework)
  # The fault soak: testing/soak_*.cc besides its test.
  file(GLOB SOAK_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/testing/soak_*.cc)
  list(REMOVE_ITEM SOAK_SOURCES ${LOOP_TESTS})
  add_library(soak_support STATIC ${SOAK_SOURCES} ${CMAKE_SOURCE_DIR}/testing/support_http.cc)
  target_link_libraries(soak_support PUBLIC router_test_support Boost::unit_test_framework)
  foreach(test_source ${LOOP_TESTS})
    get_filename_component(test_name ${test_source} NAME_WE)
    add_executable(${test_name} ${test_source})
    target_compile_definitions(${test_name} PRIVATE BOOST_TEST_DYN_LINK
                               BURDOCKHOLD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${test_name} PRIVATE burdockhold_router router_test_support
                          Boost::unit_test_framework)
    add_dependencies(${test_name} burdockhold-router)
    add_test(NAME ${test_name} COMMAND ${test_name})
    set_tests_properties(${test_name} PROPERTIES LABELS loop TIMEOUT 120 RUN_SERIAL TRUE)
  endforeach()
  foreach(test_name deployment_transfers_looptest config_bound_looptest
          config_processes_looptest)
    target_sources(${test_name} PRIVATE ${CMAKE_SOURCE_DIR}/testing/support_slow_link.cc)
  endforeach()
  target_sources(client_crowds_looptest PRIVATE ${CMAKE_SOURCE_DIR}/testing/support_crowd.cc)
  foreach(test_name soak_looptest restored_log_looptest cut_vms_looptest
          brittle_engines_looptest config_processes_looptest)
    target_link_libraries(${test_name} PRIVATE soak_support)
  endforeach()
  target_link_libraries(config_check_looptest PRIVATE platform_commands)
  set_tests_properties(soak_looptest PROPERTIES TIMEOUT 300)
endif()
