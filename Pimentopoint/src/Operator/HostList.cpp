#include "HostList.h"

#include "DocumentReader.h"
#include "DocumentStructure.h"
#include "InvalidDocument.h"

namespace pimentopoint {

HostListPointer readHostList(const std::string& text, const std::string& source)
{
    Problems problems = internal::checkStructure(text);
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    internal::DocumentReader root(YAML::Load(text), "", problems);
    root.allowKeys({ "version", "hosts" });
    HostListVersion version(root.number("version", 1, ~std::uint64_t(0) >> 1));
    std::set<TargetId> leaving;
    root.forEachItem("hosts", [&](internal::DocumentReader& host) {
        host.allowKeys({ "name", "state" });
        TargetId id = targetIdOf(TargetName(host.text("name")));
        if (host.choice("state", { "live", "leaving" }, 0) == 1)
            leaving.insert(id);
    });
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    return std::make_shared<const HostList>(version, std::move(leaving));
}

} // namespace pimentopoint
