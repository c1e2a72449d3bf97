# Warnings are errors in the project's own code. Generated headers and headers
# of libraries are included as system headers, so they cause no warnings.
add_library(flamingoloom_options INTERFACE)
target_include_directories(flamingoloom_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(flamingoloom_options INTERFACE
  -Wall -Wextra -Werror -Wno-missing-field-initializers)

# flamingoloom_library(NAME SOURCES ... DEPENDS ...)
# Adds a library. Without SOURCES it is a header-only library.
function(flamingoloom_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC flamingoloom_options ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE flamingoloom_options ${ARG_DEPENDS})
  endif()
endfunction()

# flamingoloom_test(NAME SOURCES ... DEPENDS ...)
# Adds a doctest program that ctest runs. It links test_main, the shared main
# function.
function(flamingoloom_test name)
  if(FLAMINGOLOOM_INSTANCE_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE flamingoloom_options test_main ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
endfunction()

# flamingoloom_program(NAME SOURCES ... DEPENDS ...)
# Adds a program.
function(flamingoloom_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE flamingoloom_options ${ARG_DEPENDS})
endfunction()
