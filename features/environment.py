"""Hooks that behave runs before and after each scenario."""


def before_scenario(context, scenario):
    context.cleanup = []


def after_scenario(context, scenario):
    if scenario.status == "failed":
        print_outputs(context)
    for action in reversed(context.cleanup):
        action()


def print_outputs(context):
    deployment = getattr(context, "deployment", None)
    if deployment is None:
        return
    for name in deployment.processes.names():
        output = deployment.processes.output(name)
        print(f"-- {name}\n{output[-1500:]}")
