# Installs the library, builds examples/ against the installed package as another project would, and runs the
# example. Needs the variables BUILD_DIR, SOURCE_DIR, CONFIG, COMPILER and SANITIZE.
set(prefix ${BUILD_DIR}/embed/prefix)
set(build ${BUILD_DIR}/embed/build)
file(REMOVE_RECURSE ${BUILD_DIR}/embed)
set(flags "")
if(SANITIZE)
  set(flags "-DCMAKE_CXX_COMPILER=${COMPILER};-DCMAKE_CXX_FLAGS=-fsanitize=address,undefined")
endif()
foreach(step
        "${CMAKE_COMMAND};--install;${BUILD_DIR};--prefix;${prefix};--config;${CONFIG}"
        "${CMAKE_COMMAND};-S;${SOURCE_DIR}/examples;-B;${build};-DCMAKE_PREFIX_PATH=${prefix};${flags}"
        "${CMAKE_COMMAND};--build;${build}"
        "${build}/embed")
  execute_process(COMMAND ${step} RESULT_VARIABLE code OUTPUT_VARIABLE out ERROR_VARIABLE err)
  if(NOT code EQUAL 0)
    message(FATAL_ERROR "expected exit code 0, got ${code} from: ${step}\n${out}\n${err}")
  endif()
endforeach()
if(NOT out MATCHES "served on replica")
  message(FATAL_ERROR "expected 'served on replica' in the output of the example, got:\n${out}")
endif()
