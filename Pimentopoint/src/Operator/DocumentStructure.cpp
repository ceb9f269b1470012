#include "DocumentStructure.h"

#include "../Core/Failure.h"
#include "../Core/util/Constants.h"

#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace pimentopoint::internal {

namespace {

    class InvalidStructure : public Failure {
    public:
        InvalidStructure(int line, std::string found, std::string allowed)
            : Failure(found)
            , m_problem(line, "document", std::move(found), std::move(allowed))
        {
        }
        const Problem& problem() const { return m_problem; }

    private:
        Problem m_problem;
    };

    class StructureHandler : public YAML::EventHandler {
    public:
        void OnDocumentStart(const YAML::Mark&) override { }
        void OnDocumentEnd() override { }
        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { visit(mark, anchor); }
        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw InvalidStructure(mark.line + 1, "an alias", "values without anchors and aliases");
        }
        void OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, const std::string&) override
        {
            visit(mark, anchor);
        }
        void OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            enter(mark, anchor);
        }
        void OnSequenceEnd() override { --m_depth; }
        void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            enter(mark, anchor);
        }
        void OnMapEnd() override { --m_depth; }

    private:
        void visit(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            if (anchor)
                throw InvalidStructure(mark.line + 1, "an anchor", "values without anchors and aliases");
            if (++m_nodes > maxDocumentNodes)
                throw InvalidStructure(mark.line + 1, "too many nodes", "at most " + std::to_string(maxDocumentNodes));
        }
        void enter(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            visit(mark, anchor);
            if (++m_depth > maxDocumentDepth)
                throw InvalidStructure(mark.line + 1, "nesting too deep", std::to_string(maxDocumentDepth) + " levels at most");
        }

        std::size_t m_nodes = 0;
        int m_depth = 0;
    };

} // namespace

Problems checkStructure(const std::string& text)
{
    if (text.size() > maxDocumentBytes)
        return { Problem(0, "document", std::to_string(text.size()) + " bytes", "at most " + std::to_string(maxDocumentBytes)) };
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        StructureHandler handler;
        if (!parser.HandleNextDocument(handler))
            return { Problem(0, "document", "nothing", "one YAML document") };
    } catch (const InvalidStructure& invalid) {
        return { invalid.problem() };
    } catch (const YAML::Exception& failure) {
        return { Problem(failure.mark.line + 1, "document", failure.msg, "valid YAML") };
    }
    return {};
}

} // namespace pimentopoint::internal
