#include "CommandLine/CommandLine.h"

#include "Core/Error.h"

#include <docopt/docopt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace Lavendervane {

static std::map<std::string, docopt::value> parse(const std::string& usage, int argc, const char* const* argv)
{
    try {
        return docopt::docopt_parse(usage, { argv + 1, argv + argc });
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        std::exit(0);
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n" << usage;
        std::exit(2);
    }
}

CommandLine::CommandLine(const std::string& usage, int argc, const char* const* argv)
    : values(parse(usage, argc, argv))
{
}

CommandLine::~CommandLine() = default;

bool CommandLine::isGiven(const std::string& name) const
{
    const docopt::value& value = this->values.at(name);
    return value && (!value.isBool() || value.asBool());
}

std::string CommandLine::text(const std::string& name) const
{
    const docopt::value& value = this->values.at(name);
    return value ? value.asString() : std::string();
}

std::vector<std::string> CommandLine::list(const std::string& name) const
{
    const docopt::value& value = this->values.at(name);
    return value ? value.asStringList() : std::vector<std::string> {};
}

uint64_t CommandLine::number(const std::string& name) const
{
    const std::string text = this->text(name);
    uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        throw Error("parse arguments", "", name + " must be an unsigned number, not \"" + text + "\"");
    return number;
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

int runProgram(const std::function<int()>& body)
{
    try {
        return body();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}

} // namespace Lavendervane
