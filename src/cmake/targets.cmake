# Builds every test that `ctest -L unit` runs.
add_custom_target(dogwoodlatch_unit_tests)

# In sanitizer builds, precompiles headers to shorten the build. The plain build uses none, so that a missing include is
# an error there.
function(dogwoodlatch_precompile name)
  if(DOGWOODLATCH_SANITIZE)
    target_precompile_headers(${name} PRIVATE ${ARGN})
  endif()
endfunction()

# Reuses the precompiled headers of another target in sanitizer builds.
function(dogwoodlatch_reuse_headers name other)
  if(DOGWOODLATCH_SANITIZE)
    target_precompile_headers(${name} REUSE_FROM ${other})
  endif()
endfunction()

# Adds a static library from the sources of the current folder that are not tests.
function(dogwoodlatch_add_library name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cc")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src/include")
  target_link_libraries(${name} PUBLIC ${ARGN})
  if(NOT name STREQUAL dogwoodlatch_core)
    dogwoodlatch_reuse_headers(${name} dogwoodlatch_core)
  endif()
endfunction()

# Adds a program from the sources of the current folder.
function(dogwoodlatch_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cc")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Adds a test program for each `<unit>_test.cc` of the current folder.
function(dogwoodlatch_add_tests)
  if(DOGWOODLATCH_DAEMONS_ONLY)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS "*_test.cc")
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE dogwoodlatch_test_main ${RAPIDCHECK_LIBRARY} ${ARGN})
    dogwoodlatch_reuse_headers(${name} dogwoodlatch_test_headers)
    add_test(NAME ${name} COMMAND ${name})
    add_dependencies(dogwoodlatch_unit_tests ${name})
    # A fixed seed makes the property tests reproducible.
    set_tests_properties(${name} PROPERTIES LABELS unit TIMEOUT 600
      ENVIRONMENT "RC_PARAMS=seed=20261203;TSAN_OPTIONS=halt_on_error=1")
  endforeach()
endfunction()
