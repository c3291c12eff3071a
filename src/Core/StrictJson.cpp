#include "Core/StrictJson.h"

#include "Core/Error.h"

#include <string>

namespace Lavendervane {

using Json = nlohmann::json;

// Nesting that no message of this program reaches.
static constexpr size_t maxDepth = 64;

// Messages up to this size need no check: a level takes at least one byte and less than 1 KiB of the stack.
static constexpr size_t alwaysSafeBytes = 2048;

namespace {

/// Stops decoding when arrays and objects nest too deeply.
class DepthCheck : public nlohmann::json_sax<Json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(size_t) override { return ++this->depth <= maxDepth; }
    bool start_array(size_t) override { return ++this->depth <= maxDepth; }
    bool end_object() override { return this->leave(); }
    bool end_array() override { return this->leave(); }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    bool leave()
    {
        --this->depth;
        return true;
    }

    size_t depth = 0;
};

} // namespace

uint64_t decodeUnsigned(const Json& json, uint64_t maximum)
{
    // The library takes a positive literal for unsigned, and one beyond its range for a floating-point number.
    if (!json.is_number_unsigned())
        throw Error("decode number", "", std::string("not a whole number of at least 0 but ") + json.type_name());
    const auto value = json.get<uint64_t>();
    if (value > maximum)
        throw Error("decode number", "", std::to_string(value) + " is greater than " + std::to_string(maximum));
    return value;
}

Json parseCbor(std::string_view bytes)
{
    DepthCheck check;
    if (bytes.size() > alwaysSafeBytes && !Json::sax_parse(bytes, &check, Json::input_format_t::cbor))
        throw Error("decode CBOR", "", "malformed or nested too deeply");
    return Json::from_cbor(bytes);
}

} // namespace Lavendervane
