// review-trial CASE RECORD: runs one case; the exit code is 1 if the rule was
// broken, 0 if it held, 2 if the case couldn't run.

#include "trial.hpp"

#include <map>

int case6();
int case7();
int case8();
int case9();
int case10();

int main(int Argc, char **Argv) {
  const std::map<std::string, int (*)()> Cases = {
      {"6", case6}, {"7", case7}, {"8", case8}, {"9", case9}, {"10", case10}};
  if (Argc != 3 || !Cases.contains(Argv[1])) {
    fprintf(stderr, "usage: review-trial CASE RECORD\n");
    return review::CouldNotRun;
  }
  review::openRecord(Argv[2]);
  review::record(std::string("case ") + Argv[1] + ", " +
                 (review::hasTrouble() ? "with" : "without") +
                 " the disruption");
  int Code = review::CouldNotRun;
  try {
    Code = Cases.at(Argv[1])();
  } catch (const std::exception &Cause) {
    review::record(std::string("could not run: ") + Cause.what());
    fprintf(stderr, "could not run: %s\n", Cause.what());
  }
  review::record("exit code " + std::to_string(Code));
  return Code;
}
