#include "Configuration/Declaration.h"
#include "Configuration/Change.h"
#include "Configuration/Validation.h"
#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(DeclarationTest)

static const char* const validDeclaration = R"(data_centres: [north, south]
organisations:
  - name: desk
    labels: {kind: internal}
    limit: {rate: 200, burst: 100}
  - name: club
    limit: {rate: 20, burst: 10}
    weight: 2
groups:
  - name: core-1
    labels: {app: core}
    endpoints:
      - {name: core-1-a, address: "127.0.0.1:7001", data_centre: north, slots: 2, connections: 35}
      - {name: core-1-b, address: "127.0.0.1:7002", data_centre: south, slots: 2, connections: 35}
routes:
  - {name: desk, organisations: "kind=internal", groups: "app=core", access: write}
  - {name: public, organisations: "*", groups: "app=core", access: read, open_as: club}
)";

struct ValidDeclaration {
    Configuration configuration = parseDeclaration(validDeclaration, "a.yaml").configuration;
};

BOOST_FIXTURE_TEST_CASE(Declaration_Valid_GivesTheDeclaredAccess, ValidDeclaration)
{
    BOOST_TEST(validate(configuration).empty());
    const OrganisationId desk("desk");
    const OrganisationId club("club");
    const GroupId core("core-1");
    BOOST_TEST(configuration.allows(desk, core, Access::Write));
    BOOST_TEST(!configuration.allows(club, core, Access::Write));
    BOOST_TEST(configuration.allows(club, core, Access::Read));
    BOOST_TEST((configuration.anonymousOrganisation(core, Access::Read) == club));
    BOOST_TEST(!configuration.anonymousOrganisation(core, Access::Write).has_value());
    BOOST_TEST(configuration.findOrganisation(club)->weight == 2U);
}

struct InvalidDeclarationCase {
    const char* name;
    const char* replaced;
    const char* replacement;
    const char* expected; ///< part of the error message
};

// An error that is not reported would be committed and take effect on every VM.
BOOST_AUTO_TEST_CASE(Declaration_WithError_NamesFileLineAndField)
{
    const std::vector<InvalidDeclarationCase> cases = {
        { "unknown field", "weight: 2", "wieght: 2", "a.yaml:8: organisation: unknown field \"wieght\"" },
        { "duplicate organisation", "name: club", "name: desk", "a.yaml:6: organisation: name is declared twice" },
        { "negative rate", "rate: 20,", "rate: -20,", "a.yaml:7: rate: expected a whole number" },
        { "missing limit", "    limit: {rate: 20, burst: 10}\n", "", "limit: is missing" },
        { "empty selector", "\"kind=internal\"", "\"\"", "organisations: the selector is empty" },
        { "malformed selector", "\"kind=internal\"", "\"kind==x\"", "organisations: invalid name or value" },
        { "unknown access", "access: write", "access: rw", "access: expected \"read\" or \"write\"" },
        { "broken YAML", "data_centres: [north", "data_centres: [north, [", "a.yaml:" },
        { "list expected", "data_centres: [north, south]", "data_centres: north", "data_centres: expected a list" },
    };
    for (const auto& example : cases) {
        std::string yaml = validDeclaration;
        const size_t at = yaml.find(example.replaced);
        BOOST_REQUIRE(at != std::string::npos);
        yaml.replace(at, std::string(example.replaced).size(), example.replacement);
        const auto errors = parseDeclaration(yaml, "a.yaml").errors;
        const bool found = std::any_of(errors.begin(), errors.end(),
            [&](const std::string& error) { return error.find(example.expected) != std::string::npos; });
        BOOST_TEST(found, example.name << ": " << (errors.empty() ? "no error" : errors.front()));
    }
}

struct InvalidConfigurationCase {
    const char* expected;
    std::function<void(Configuration&)> change;
};

BOOST_FIXTURE_TEST_CASE(Validation_InvalidConfiguration_NamesResourceAndField, ValidDeclaration)
{
    auto firstEndpoint
        = [](Configuration& changed) -> Endpoint& { return changed.groups.begin()->second.endpoints[0]; };
    auto organisation = [](Configuration& changed) -> Organisation& { return changed.organisations.begin()->second; };
    auto route = [](Configuration& changed) -> Route& { return changed.routes.begin()->second; };
    const std::vector<InvalidConfigurationCase> cases = {
        { "organisation club: limit.rate", [&](auto& changed) { organisation(changed).limit.rate = 0; } },
        { "organisation club: limit.burst", [&](auto& changed) { organisation(changed).limit.burst = 0; } },
        { "organisation club: weight", [&](auto& changed) { organisation(changed).weight = 0; } },
        { "group core-1: endpoints", [&](auto& changed) { changed.groups.begin()->second.endpoints.clear(); } },
        { "endpoint core-1-b: name", [&](auto& changed) { firstEndpoint(changed).name = EndpointId("core-1-b"); } },
        { "endpoint core-1-b: address", [&](auto& changed) { firstEndpoint(changed).address = "127.0.0.1:7002"; } },
        { "endpoint core-1-a: address", [&](auto& changed) { firstEndpoint(changed).address = "localhost:7001"; } },
        { "endpoint core-1-a: address", [&](auto& changed) { firstEndpoint(changed).address = "127.0.0.1:70000"; } },
        { "endpoint core-1-a: data_centre",
            [&](auto& changed) { firstEndpoint(changed).dataCentre = DataCentre("x"); } },
        { "endpoint core-1-a: slots", [&](auto& changed) { firstEndpoint(changed).slots = 0; } },
        { "route desk: groups", [&](auto& changed) { route(changed).groups = Selector::parse("app=none"); } },
        { "route desk: organisations", [&](auto& changed) { route(changed).organisations = Selector::parse("no"); } },
        { "route desk: open_as", [&](auto& changed) { route(changed).openAs = OrganisationId("nobody"); } },
        { "key k: organisation",
            [&](auto& changed) {
                changed.keys[KeyId("k")] = { KeyId("k"), OrganisationId("x"), std::string(64, '0') };
            } },
    };
    for (const auto& example : cases) {
        Configuration changed = configuration;
        example.change(changed);
        const auto errors = validate(changed);
        const bool found = std::any_of(
            errors.begin(), errors.end(), [&](const std::string& error) { return error.find(example.expected) == 0; });
        BOOST_TEST(found, example.expected);
    }
}

// Guards against a field that the JSON form loses: it would be missing in the chain, and the configurations of VMs
// would differ after a restart.
BOOST_FIXTURE_TEST_CASE(Change_WrittenAndParsed_LeadsToTheSameConfiguration, ValidDeclaration)
{
    Change change = makeChange({}, configuration);
    change.id = "id-1";
    change.author = "operator";
    change.time = "2026-01-01T00:00:00Z";
    change.keys = { { KeyId("k"), OrganisationId("desk"), std::string(64, 'a') } };
    const Change parsed = parseChange(toJson(change));
    BOOST_TEST((parsed == change));
    const Configuration after = applyChange({}, parsed);
    BOOST_TEST((after.groups == configuration.groups));
    BOOST_TEST((after.routes == configuration.routes));
    BOOST_TEST((parseConfiguration(toJson(after)) == after));
}

BOOST_FIXTURE_TEST_CASE(Change_RemovedResources_AreGoneAndSummarised, ValidDeclaration)
{
    Configuration after = configuration;
    after.routes.erase("public");
    after.organisations[OrganisationId("desk")].weight = 5;
    const Change change = makeChange(configuration, after);
    const std::vector<std::string> expected = { "organisation desk: replaced", "route public: removed" };
    BOOST_TEST((summarise(change, configuration) == expected));
    after.version = 1;
    BOOST_TEST((applyChange(configuration, change) == after));
}

BOOST_FIXTURE_TEST_CASE(Change_OfAnotherVersion_IsRejected, ValidDeclaration)
{
    Change change = makeChange(configuration, configuration);
    configuration.version = 7;
    BOOST_CHECK_THROW(applyChange(configuration, change), Error);
}

BOOST_AUTO_TEST_SUITE_END()
