package io.bilberrygrade.standins.load.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Samples of a daemon's metrics page by name, for control counters by name and step. */
record MetricsPage(Map<String, Double> values) {
    private static final String PREFIX = "bilberrygrade_";
    private static final Pattern SAMPLE =
            Pattern.compile("(?m)^" + PREFIX + "([a-z_]+)(?:\\{step=\"([a-z_]+)\",\\})? (\\S+)$");

    static MetricsPage parse(String text) {
        Map<String, Double> values = new TreeMap<>();
        Matcher matcher = SAMPLE.matcher(text);
        while (matcher.find()) {
            String step = matcher.group(2) == null ? "" : "/" + matcher.group(2);
            values.put(matcher.group(1) + step, Double.valueOf(matcher.group(3)));
        }
        return new MetricsPage(values);
    }

    double value(String name) {
        return values.getOrDefault(name, 0.0);
    }

    /** Returns the counter values of a control metric by step. */
    Map<String, Double> byStep(String metric) {
        Map<String, Double> result = new TreeMap<>();
        String prefix = "control_" + metric + "_total/";
        values.forEach(
                (name, value) -> {
                    if (name.startsWith(prefix)) {
                        result.put(name.substring(prefix.length()), value);
                    }
                });
        return result;
    }
}
