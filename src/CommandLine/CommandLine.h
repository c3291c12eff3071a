#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace docopt {
struct value;
}

namespace Lavendervane {

/// Command-line arguments of a program, parsed by docopt.
class CommandLine {
public:
    /// Prints the usage and exits with 0 on --help; prints the error and exits with 2 on invalid arguments.
    CommandLine(const std::string& usage, int argc, const char* const* argv);
    ~CommandLine();

    CommandLine(const CommandLine&) = delete;
    CommandLine& operator=(const CommandLine&) = delete;

    bool isGiven(const std::string& name) const;

    /// Returns the value of an option, or an empty text if it is not given and has no default.
    std::string text(const std::string& name) const;

    /// Returns all values of an option that can be repeated.
    std::vector<std::string> list(const std::string& name) const;

    /// Returns the value as a number. Throws Error (step "parse arguments") unless it is an unsigned number.
    uint64_t number(const std::string& name) const;

private:
    std::map<std::string, docopt::value> values;
};

/// Splits a text at each separator. Returns no parts for an empty text.
std::vector<std::string> split(const std::string& text, char separator);

/// Runs the body of a program and returns its exit code. Prints an exception that it throws and returns 2.
int runProgram(const std::function<int()>& body);

} // namespace Lavendervane
