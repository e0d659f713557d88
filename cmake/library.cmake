# Adds a static library. A library may depend only on libraries added before it,
# which rules out cyclic dependencies.
#
#   hawthornwheel_library(NAME SOURCES ... [PUBLIC ...] [PRIVATE ...])
function(hawthornwheel_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  foreach(dependency IN LISTS ARG_PUBLIC ARG_PRIVATE)
    if(NOT TARGET ${dependency})
      message(FATAL_ERROR
        "Library ${name} depends on ${dependency}, which must be added before it")
    endif()
  endforeach()
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})
endfunction()
