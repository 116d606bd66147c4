"""Fixtures of the tests of the host process."""

import asyncio

import pytest

from foxtailseam.front.tests._deployment import GRACE_SECONDS, Deployment


@pytest.fixture
def run_scenario(tmp_path):
    """Return a function that runs a scenario on a new deployment."""

    def run(scenario):
        async def main():
            deployment = Deployment(tmp_path, GRACE_SECONDS)
            await deployment.start()
            try:
                await asyncio.wait_for(scenario(deployment), 60)
            finally:
                await deployment.stop()

        asyncio.run(main())

    return run
