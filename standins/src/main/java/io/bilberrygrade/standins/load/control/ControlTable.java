package io.bilberrygrade.standins.load.control;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** Formats samples and the least-squares fits through them as Markdown. */
final class ControlTable {
    private static final int TARGET_DAEMONS = 410;
    private static final int TARGET_ENDPOINTS = 600;
    private static final List<Figure> FIGURES =
            List.of(
                    new Figure(
                            "processor ms/s of the process",
                            s -> s.daemons() * s.processorMillisPerSecond()),
                    new Figure("heap MiB of the process", s -> s.daemons() * s.heapMegabytes()),
                    new Figure("messages/s", s -> ControlSample.total(s.messagesPerSecond())),
                    new Figure("sent B/s", s -> ControlSample.total(s.sentBytesPerSecond())),
                    new Figure(
                            "received B/s", s -> ControlSample.total(s.receivedBytesPerSecond())),
                    new Figure(
                            "of these sent to peers B/s",
                            s -> s.sentBytesPerSecond().getOrDefault("peer_call", 0.0)),
                    new Figure("service calls/s, all", ControlSample::configCallsPerSecond),
                    new Figure("in force s", ControlSample::secondsInForce),
                    new Figure("bytes a change", ControlSample::bytesPerChange));

    private ControlTable() {}

    static String of(List<ControlSample> samples) {
        String heading =
                "| daemons | endpoints | teams | "
                        + FIGURES.stream().map(Figure::name).collect(Collectors.joining(" | "))
                        + " |\n|"
                        + "---|".repeat(FIGURES.size() + 3)
                        + "\n";
        return heading
                + samples.stream().map(ControlTable::row).collect(Collectors.joining())
                + "\n"
                + fitTable(samples);
    }

    private static String row(ControlSample s) {
        return "| "
                + s.daemons()
                + " | "
                + s.endpoints()
                + " | "
                + s.teams()
                + " | "
                + FIGURES.stream()
                        .map(f -> formatNumber(f.value().applyAsDouble(s)))
                        .collect(Collectors.joining(" | "))
                + " |\n";
    }

    private static String fitTable(List<ControlSample> samples) {
        int endpoints = samples.get(0).endpoints();
        int teams = samples.get(0).teams();
        List<ControlSample> fixedEndpoints =
                samples.stream()
                        .filter(s -> s.endpoints() == endpoints && s.teams() == teams)
                        .toList();
        List<ControlSample> fixedDaemons =
                samples.stream().filter(s -> s.teams() == teams && s.daemons() == 8).toList();
        StringBuilder text = new StringBuilder();
        text.append("| figure | base | a daemon | at 410 daemons | base | an endpoint")
                .append(" | at 600 endpoints |\n|---|---|---|---|---|---|---|\n");
        for (Figure f : FIGURES) {
            LinearFit daemonFit =
                    LinearFit.leastSquares(fixedEndpoints, ControlSample::daemons, f.value());
            LinearFit endpointFit =
                    LinearFit.leastSquares(fixedDaemons, ControlSample::endpoints, f.value());
            text.append("| ").append(f.name()).append(" | ");
            text.append(fitColumns(daemonFit, TARGET_DAEMONS)).append(" | ");
            text.append(fitColumns(endpointFit, TARGET_ENDPOINTS)).append(" |\n");
        }
        return text.toString();
    }

    private static String fitColumns(LinearFit fit, int target) {
        return formatNumber(fit.base())
                + " | "
                + String.format(Locale.ROOT, "%.4f", fit.slope())
                + " | "
                + formatNumber(fit.valueAt(target));
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%.0f", value);
    }

    private record Figure(String name, ToDoubleFunction<ControlSample> value) {}
}
