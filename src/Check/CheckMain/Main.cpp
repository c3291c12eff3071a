#include "Check/HistoryChecker.h"
#include "CommandLine/CommandLine.h"
#include "Core/Error.h"
#include "Http/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <fstream>
#include <iostream>
#include <map>

static const char* const usage
    = R"(Checks a history of the load tool and the final content of the endpoints for consistency and rate violations.

Usage:
  lavendervane-check [--dump=DUMP]... HISTORY
  lavendervane-check --help

Options:
  --help       Prints this text.
  --dump=DUMP  GROUP=IP:port of an endpoint, or GROUP=FILE with its saved /control/dump; may be repeated, also for
               several members of one group, of which the one with the newest log is used.

A write is only checked for loss, repetition or a false not_run if there is a dump of its group.

Exit code: 0 no violations, 1 violations found, 2 invalid input.
)";

namespace {

using namespace Lavendervane;
using Json = nlohmann::json;

constexpr size_t maxPrintedViolations = 100;

// Uses Beast directly, because a dump may be far larger than the bodies that HttpConnection accepts.
std::string fetchDump(const std::string& address)
{
    namespace http = boost::beast::http;
    constexpr timeval receiveTimeout { 30, 0 }; // seconds
    try {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(parseAddress(address));
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        http::request<http::empty_body> request(http::verb::get, "/control/dump", 11);
        request.set(http::field::host, address);
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> response;
        response.body_limit(boost::none);
        http::read(socket, buffer, response);
        if (response.get().result() != http::status::ok)
            throw Error("fetch dump", address, "HTTP status " + std::to_string(response.get().result_int()));
        return response.get().body();
    } catch (const boost::system::system_error& error) {
        throw Error("fetch dump", address, error.code().message());
    }
}

std::string readFile(const std::string& name)
{
    std::ifstream file(name);
    if (!file)
        throw Error("read dump", name, "cannot be opened");
    return { std::istreambuf_iterator<char>(file), {} };
}

FinalContent loadContent(const std::vector<std::string>& dumps)
{
    FinalContent content;
    for (const std::string& dump : dumps) {
        const size_t separator = dump.find('=');
        if (separator == std::string::npos)
            throw Error("parse arguments", "", "--dump must be GROUP=ADDRESS or GROUP=FILE, not \"" + dump + "\"");
        const std::string source = dump.substr(separator + 1);
        const bool isFile = std::ifstream(source).good();
        content.add(dump.substr(0, separator), Json::parse(isFile ? readFile(source) : fetchDump(source)));
    }
    content.buildIndex();
    return content;
}

// Prints the violations, then the lines of the history that they refer to.
void printViolations(const std::vector<Violation>& violations, const std::string& historyName)
{
    std::map<size_t, std::string> lines;
    for (size_t index = 0; index < violations.size() && index < maxPrintedViolations; ++index) {
        for (const size_t line : violations[index].lines)
            lines[line];
    }
    std::ifstream file(historyName);
    std::string text;
    for (size_t number = 1; std::getline(file, text); ++number) {
        if (const auto wanted = lines.find(number); wanted != lines.end())
            wanted->second = text;
    }
    for (size_t index = 0; index < violations.size() && index < maxPrintedViolations; ++index) {
        std::cout << violations[index].rule << ": " << violations[index].text << "\n";
        for (const size_t line : violations[index].lines)
            std::cout << "  line " << line << ": " << lines[line] << "\n";
    }
    if (violations.size() > maxPrintedViolations)
        std::cout << violations.size() - maxPrintedViolations << " more violations\n";
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram([=] {
        const CommandLine arguments(usage, argc, argv);
        const std::string historyName = arguments.text("HISTORY");
        std::ifstream file(historyName);
        if (!file)
            throw Error("read history", historyName, "cannot be opened");
        const History history = readHistory(file);
        const auto violations = checkHistory(history, loadContent(arguments.list("--dump")));
        printViolations(violations, historyName);
        std::cout << history.events.size() << " requests, " << violations.size() << " violations\n";
        return violations.empty() ? 0 : 1;
    });
}
