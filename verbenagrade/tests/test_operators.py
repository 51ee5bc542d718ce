"""End-to-end tests of the operators' command line and of resource updates."""

import asyncio
import json
import signal
import subprocess
import sys


async def run_operator_command(fleet, *args):
    """Runs an operator command against the fleet's control process.

    Returns the exit code and the command's output.
    """
    program = [sys.executable, "-m", "verbenagrade.commands.operator"]
    control = ["--control", fleet.urls["control"]]
    result = await asyncio.to_thread(
        subprocess.run, [*program, *args, *control], capture_output=True, text=True
    )
    return result.returncode, (result.stdout + result.stderr).strip()


async def test_session_of_an_operator(start_fleet, golden):
    async with start_fleet() as fleet:
        budget = {"workspace": "mall", "prepaid": 500}
        workspace = {"budget": "mall", "api_keys": ["key-mall"], "routes": ["verbena"]}
        resources = [
            {"kind": "budget", "name": "mall", "spec": budget},
            {"kind": "workspace", "name": "mall", "spec": workspace},
        ]
        path = fleet.directory / "mall.json5"
        path.write_text("// a new customer\n" + json.dumps(resources))
        golden.add_step(
            "apply", *await run_operator_command(fleet, "apply", "-f", str(path))
        )
        golden.add_step(
            "wait", *await run_operator_command(fleet, "wait", "workspace", "mall")
        )
        response = await fleet.chat("dhofar-a-1", "mall", answer_words=2, max_tokens=9)
        golden.add_response("the new customer's first request", response)
        await fleet.wait_for_bills(1, "mall")
        await fleet.wait_until(fleet.is_settled)
        code, text = await run_operator_command(fleet, "explain", "mall")
        golden.add_step("explain", code, text.splitlines()[-1])
        metrics = await fleet.send_request("control", "GET", "/metrics")
        assert b"verbenagrade_requests_total" in metrics.body
        golden.add_step(
            "get", *await run_operator_command(fleet, "get", "--kind", "budget")
        )
        path.write_text('{kind: "pool", name: "p", spec: {endpoints: 3}}')
        golden.add_step(
            "a wrong spec", *await run_operator_command(fleet, "apply", "-f", str(path))
        )
        path.write_text('{kind: "pod", name: "p", spec: {}}')
        golden.add_step(
            "a wrong kind", *await run_operator_command(fleet, "apply", "-f", str(path))
        )
        golden.check()


async def test_concurrent_resource_updates_conflict_instead_of_overwriting(start_fleet):
    async with start_fleet(data_centres=("muscat-a",)) as fleet:
        path = "/resources/budget/crew"
        bodies = [
            {"generation": 1, "spec": {"workspace": "crew", "prepaid": 1_000_000 + n}}
            for n in range(6)
        ]
        responses = await asyncio.gather(
            *(fleet.send_request("control", "PUT", path, body) for body in bodies)
        )
        statuses = sorted(response.status for response in responses)
        assert statuses == [200, 409, 409, 409, 409, 409]
        winner = next(
            n for n, response in enumerate(responses) if response.status == 200
        )
        assert (await fleet.budget_status())["row"]["target"] == 1_000_000 + winner


async def test_resource_status_lists_the_vms_that_it_waits_for(start_fleet):
    async with start_fleet() as fleet:
        await fleet.wait_until(lambda: is_in_force(fleet, "route", "verbena"))
        fleet.signal("dhofar-a-1", signal.SIGSTOP)
        route = {"pool": "verbena-pool", "default_answer_tokens": 77}
        await fleet.apply("route", "verbena", route, 1)
        await asyncio.sleep(3.0)
        status = (
            await fleet.send_request(
                "control", "GET", "/resources/route/verbena/status"
            )
        ).json()
        waits_for = [{"vm": "dhofar-a-1", "data_centre": "dhofar-a"}]
        assert not status["in_force"]
        assert status["waits_for"] == waits_for
        fleet.signal("dhofar-a-1", signal.SIGCONT)
        await fleet.wait_until(lambda: is_in_force(fleet, "route", "verbena"))


async def is_in_force(fleet, kind, name):
    """Tells whether all routers use the present version of a resource."""
    path = f"/resources/{kind}/{name}/status"
    return (await fleet.send_request("control", "GET", path)).json()["in_force"]


async def test_configuration_is_kept_during_an_outage_and_updates_afterwards(
    start_fleet,
):
    async with start_fleet(data_centres=("muscat-a",)) as fleet:
        await fleet.set_switches("platform", down=True)
        await asyncio.sleep(1.0)
        assert (await fleet.chat("muscat-a-0", model="nothing")).status == 404
        refused = await fleet.send_request(
            "control",
            "PUT",
            "/resources/route/verbena",
            {"generation": 1, "spec": {"pool": "verbena-pool"}},
        )
        assert refused.status == 503
        assert refused.json()["outcome"] == "unknown"
        await fleet.set_switches("platform")
        await fleet.apply("route", "verbena", {"pool": "verbena-pool"}, 1)
        await fleet.wait_until(lambda: is_in_force(fleet, "route", "verbena"))
