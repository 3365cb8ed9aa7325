# cmake -DMUTANT=FILE -DSOURCE=FILE -DOUTPUT=FILE -P mutate.cmake
#
# Writes to OUTPUT a copy of SOURCE in which the text between "--- old" and "--- new" of MUTANT is
# replaced by the text after "--- new". Fails if SOURCE does not contain the old text.
file(READ "${MUTANT}" mutant)
file(READ "${SOURCE}" source)
string(FIND "${mutant}" "--- old\n" old_mark)
string(FIND "${mutant}" "--- new\n" new_mark)
math(EXPR old_start "${old_mark} + 8")
math(EXPR old_length "${new_mark} - ${old_start} - 1")
math(EXPR new_start "${new_mark} + 8")
string(SUBSTRING "${mutant}" ${old_start} ${old_length} old)
string(SUBSTRING "${mutant}" ${new_start} -1 new)
string(REGEX REPLACE "\n$" "" new "${new}")
string(FIND "${source}" "${old}" place)
if(place EQUAL -1)
  message(FATAL_ERROR "${MUTANT}: its old text does not occur in ${SOURCE}")
endif()
string(REPLACE "${old}" "${new}" source "${source}")
file(WRITE "${OUTPUT}" "${source}")
