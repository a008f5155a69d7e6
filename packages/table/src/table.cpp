#include <springstair/table.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr std::size_t max_rows = 10'000;
constexpr std::size_t max_bytes = 900'000; // of a document in the store
constexpr std::size_t max_name = 63;
constexpr std::size_t hash_length = 64; // SHA-256 in hexadecimal
constexpr std::int64_t max_slots = 1'000;

bool is_name(std::string_view text)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= max_name &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_hash(const std::string& text)
{
    return text.size() == hash_length &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

workspace_row read_workspace(object_reader& reader)
{
    workspace_row row{.weight = reader.positive("weight", 1),
                      .max_in_flight = reader.integer("max_in_flight", 0),
                      .max_rate = reader.integer("max_rate", 0),
                      .cpu_millis = reader.integer("cpu_millis", 0),
                      .memory_mb = reader.integer("memory_mb", 0),
                      .accelerators =
                          reader.integer("accelerators", -1, {.min = -1}),
                      .credential_hashes = reader.texts("credential_hashes")};
    for (std::size_t index = 0; index < row.credential_hashes.size(); ++index)
    {
        if (!is_hash(row.credential_hashes[index]))
        {
            reader.report("credential_hashes",
                          "element " + std::to_string(index) +
                              " must be 64 hexadecimal digits");
        }
    }
    reader.reject_unknown();
    return row;
}

class_kind read_kind(object_reader& reader)
{
    const std::string name = reader.text("kind");
    const auto kind = from_string<class_kind>(name);
    if (!kind && !name.empty())
    {
        reader.report("kind", "must be latency-critical, heavy or batch");
    }
    return kind.value_or(class_kind::heavy);
}

class_row read_class(object_reader& reader)
{
    class_row row{.kind = read_kind(reader),
                  .weight = reader.positive("weight", 1),
                  .max_in_flight = reader.integer("max_in_flight", 0),
                  .max_queue = reader.integer("max_queue", 64),
                  .reserved_slots =
                      reader.integer("reserved_slots", 0, {.max = max_slots}),
                  .target_ms = reader.integer("target_ms", 0),
                  .repeatable = reader.boolean("repeatable", false)};
    if (row.reserved_slots > 0 && row.kind != class_kind::latency_critical)
    {
        reader.report("reserved_slots", "is for latency-critical classes only");
    }
    reader.reject_unknown();
    return row;
}

std::optional<class_name> class_of_row(const std::string& row)
{
    const std::size_t slash = row.find('/');
    if (slash == std::string::npos)
    {
        return std::nullopt;
    }
    return class_name{.workspace = row.substr(0, slash),
                      .work_class = row.substr(slash + 1)};
}

} // namespace

struct table::content
{
    std::int64_t revision = 0;
    std::map<std::string, workspace_row, std::less<>> workspaces;
    std::map<class_name, class_row> classes;
    std::map<std::string, std::string> workspace_of_hash;
    std::int64_t reserved_slots = 0;
    json document = {{"revision", 0}, {"rows", json::object()}};

    void read_row(const std::string& name, const json& cells,
                  findings& problems)
    {
        object_reader rows(json::object(), "/rows", problems);
        object_reader reader(cells, rows.place_of(name), problems);
        const auto of_class = class_of_row(name);
        if (!of_class)
        {
            if (!is_name(name))
            {
                rows.report(
                    name,
                    "must have a name of 1 to 63 characters a-z, 0-9 and -");
            }
            workspaces.emplace(name, read_workspace(reader));
            return;
        }
        if (!is_name(of_class->workspace) || !is_name(of_class->work_class))
        {
            rows.report(
                name,
                "must be workspace/class, each 1 to 63 characters a-z, 0-9 "
                "and -");
        }
        classes.emplace(*of_class, read_class(reader));
    }

    void check_row_references(findings& problems)
    {
        object_reader rows(json::object(), "/rows", problems);
        for (const auto& [name, row] : classes)
        {
            if (!workspaces.contains(name.workspace))
            {
                rows.report(name.row(), "has no row for its workspace");
            }
            reserved_slots = std::max(reserved_slots, row.reserved_slots);
        }
        for (const auto& [name, row] : workspaces)
        {
            for (const std::string& hash : row.credential_hashes)
            {
                if (!workspace_of_hash.emplace(hash, name).second)
                {
                    rows.report(name,
                                "has a credential that another row has, too");
                }
            }
        }
    }
};

table::table() : content_(std::make_shared<const content>()) {}

table::table(std::shared_ptr<const content> parsed)
    : content_(std::move(parsed))
{
}

table table::parse(const json& document)
{
    findings problems;
    auto parsed = std::make_shared<content>();
    object_reader reader(document, "", problems);
    parsed->revision = reader.integer(
        "revision", std::nullopt,
        {.min = 0, .max = std::numeric_limits<std::int64_t>::max()});
    reader.texts("writers");
    const json* rows = reader.member("rows");
    reader.reject_unknown();
    if (rows == nullptr || !rows->is_object())
    {
        reader.report("rows", "must be an object of rows");
    }
    else if (rows->size() > max_rows || document.dump().size() > max_bytes)
    {
        reader.report("rows", "is larger than the store can hold");
    }
    else
    {
        for (const auto& [name, cells] : rows->items())
        {
            parsed->read_row(name, cells, problems);
        }
        parsed->check_row_references(problems);
    }
    if (!problems.empty())
    {
        throw document_error(std::move(problems));
    }
    parsed->document = document;
    return table(std::move(parsed));
}

std::int64_t table::revision() const noexcept
{
    return content_->revision;
}

const workspace_row* table::find(std::string_view workspace) const
{
    const auto found = content_->workspaces.find(workspace);
    return found == content_->workspaces.end() ? nullptr : &found->second;
}

const class_row* table::find(const class_name& name) const
{
    const auto found = content_->classes.find(name);
    return found == content_->classes.end() ? nullptr : &found->second;
}

const std::map<class_name, class_row>& table::classes() const
{
    return content_->classes;
}

std::optional<std::string>
table::authenticate(std::string_view credential) const
{
    const auto found = content_->workspace_of_hash.find(sha256_hex(credential));
    if (found == content_->workspace_of_hash.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::int64_t table::reserved_slots() const noexcept
{
    return content_->reserved_slots;
}

const json& table::document() const noexcept
{
    return content_->document;
}

} // namespace springstair
