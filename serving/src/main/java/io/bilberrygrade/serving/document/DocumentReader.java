package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hibernate.validator.HibernateValidator;

/**
 * Reads a YAML document into a record whose components carry {@link KeyInfo} and constraints.
 * Collects all unknown keys, missing keys, values of the wrong type and values out of range.
 */
public final class DocumentReader {
    private static final Validator VALIDATOR =
            Validation.byProvider(HibernateValidator.class)
                    .configure()
                    .defaultLocale(Locale.ENGLISH)
                    .buildValidatorFactory()
                    .getValidator();

    private final String mName;
    private final LineIndex mLines;
    private final Map<String, Fault> mFaults = new TreeMap<>();

    private DocumentReader(String name, LineIndex lines) {
        mName = name;
        mLines = lines;
    }

    /** Reads a document; passes each fault to {@code faults} and returns empty if there is any. */
    public static <T> Optional<Document<T>> read(
            String name, byte[] bytes, Class<T> type, Consumer<Fault> faults) {
        try {
            DocumentReader reader = new DocumentReader(name, LineIndex.of(bytes));
            Optional<T> value = reader.value(bytes, type);
            reader.mFaults.values().forEach(faults);
            return value.filter(v -> reader.mFaults.isEmpty())
                    .map(v -> new Document<>(name, v, reader.mLines));
        } catch (JsonProcessingException e) {
            faults.accept(new Fault(name, line(e), "", firstLine(e)));
        } catch (IOException e) {
            faults.accept(new Fault(name, 1, "", e.toString()));
        }
        return Optional.empty();
    }

    private <T> Optional<T> value(byte[] bytes, Class<T> type) throws IOException {
        ObjectMapper mapper = mapper();
        ObjectNode tree = root(mapper.readTree(bytes));
        new KeyCheck(this::fault).check(tree, type, "");
        try {
            Optional<T> value = Optional.ofNullable(mapper.treeToValue(tree, type));
            value.ifPresent(v -> VALIDATOR.validate(v).forEach(this::violation));
            return value;
        } catch (JsonMappingException e) {
            fault("", firstLine(e));
            return Optional.empty();
        }
    }

    private ObjectNode root(JsonNode tree) {
        if (tree instanceof ObjectNode object) {
            return object;
        }
        if (!tree.isMissingNode() && !tree.isNull()) {
            fault("", "the document is no mapping of keys to values");
        }
        return JsonNodeFactory.instance.objectNode();
    }

    private ObjectMapper mapper() {
        SimpleModule units = new SimpleModule();
        units.addDeserializer(Duration.class, new DurationDeserializer());
        return YAMLMapper.builder()
                .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .addModule(units)
                .addHandler(new TypeMismatchHandler(this::fault))
                .build();
    }

    private void violation(ConstraintViolation<?> violation) {
        fault(Pointers.of(violation.getPropertyPath()), violation.getMessage());
    }

    private void fault(String pointer, String message) {
        Fault fault = new Fault(mName, mLines.line(pointer), Pointers.key(pointer), message);
        mFaults.putIfAbsent(pointer, fault);
    }

    private static int line(JsonProcessingException e) {
        return e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("malformed");
    }
}
