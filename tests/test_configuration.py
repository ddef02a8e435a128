"""Tests of the commands that apply sections."""

from chervilstep.commands.configuration import apply_sections
from chervilstep.revisions import Revision
from tests.builders import KEY, digest_key
from tests.document_builders import a_configured_node, customer_text


def accepts_key(node, key=KEY):
    return node.snapshot.customer_by_digest(digest_key(key)) is not None


def test_newer_revision_replaces_the_older():
    node = a_configured_node()
    apply_sections(
        node, [('customers', Revision(2), customer_text(keys=['new']))], 0
    )
    assert accepts_key(node, 'new')
    assert not accepts_key(node)


def test_older_revision_is_ignored():
    node = a_configured_node(revision=5)
    apply_sections(
        node, [('customers', Revision(4), customer_text(keys=['old']))], 0
    )
    assert accepts_key(node)
    assert node.configuration.sections['customers'].revision == Revision(5)
    assert node.counters.total('sections_outdated') == 1


def test_invalid_text_leaves_previous_revision_in_force():
    node = a_configured_node()
    apply_sections(node, [('services', Revision(2), 'broken')], 0)
    apply_sections(
        node, [('customers', Revision(3), customer_text(keys=['new']))], 0
    )
    assert not accepts_key(node)
    assert node.snapshot.services['strike'].upstreams
    assert node.configuration.faults['services'].revision == Revision(2)
    assert node.counters.total('sections_refused') == 1


def test_only_a_newer_valid_text_clears_a_fault():
    node = a_configured_node(revision=1)
    apply_sections(node, [('customers', Revision(5), 'broken')], 0)
    apply_sections(node, [('customers', Revision(4), customer_text())], 0)
    assert 'customers' in node.configuration.faults
    apply_sections(node, [('customers', Revision(6), customer_text())], 0)
    assert not node.configuration.faults


def test_deleted_section_is_not_restored_by_older_text():
    node = a_configured_node()
    apply_sections(node, [('customers', Revision(3), None)], 0)
    apply_sections(node, [('customers', Revision(2), customer_text())], 0)
    assert not accepts_key(node)


def test_invalid_section_name_is_refused():
    node = a_configured_node()
    apply_sections(node, [('a b', Revision(3), '')], 0)
    assert 'a b' in node.configuration.faults
