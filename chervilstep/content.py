"""The definitions in one section of the operators' document."""

from collections.abc import Mapping
from typing import final

from chervilstep.services import Service
from chervilstep.snapshot import Customer, Route, ZoneState


@final
class SectionContent:
    """The validated definitions of one section, by kind and name."""

    __slots__ = ('_customers', '_routes', '_services', '_zones')

    def __init__(self) -> None:
        """Creates content without definitions."""
        self._zones: dict[str, ZoneState] = {}
        self._services: dict[str, Service] = {}
        self._routes: dict[str, Route] = {}
        self._customers: dict[str, Customer] = {}

    @property
    def zones(self) -> Mapping[str, ZoneState]:
        """The states of availability zones by name."""
        return self._zones

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name."""
        return self._services

    @property
    def routes(self) -> Mapping[str, Route]:
        """The routes by name."""
        return self._routes

    @property
    def customers(self) -> Mapping[str, Customer]:
        """The customers by name."""
        return self._customers

    def add_zone(self, name: str, state: ZoneState) -> None:
        """Adds the state of an availability zone."""
        self._zones[name] = state

    def add_service(self, service: Service) -> None:
        """Adds the definition of a service."""
        self._services[service.name] = service

    def add_route(self, route: Route) -> None:
        """Adds the definition of a route."""
        self._routes[route.name] = route

    def add_customer(self, customer: Customer) -> None:
        """Adds the definition of a customer."""
        self._customers[customer.name] = customer
