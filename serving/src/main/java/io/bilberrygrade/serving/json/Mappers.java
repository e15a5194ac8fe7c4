package io.bilberrygrade.serving.json;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Object mappers shared by all code that reads or writes a format. */
public final class Mappers {
    /** Mapper for JSON; ignores unknown fields, since endpoints may add some. */
    public static final ObjectMapper JSON =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .addModule(new JavaTimeModule())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    /** Mapper for YAML and, since JSON is a subset, JSON; rejects unknown fields. */
    public static final ObjectMapper YAML =
            YAMLMapper.builder()
                    .addModule(new Jdk8Module())
                    .addModule(new JavaTimeModule())
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    /**
     * Mapper for MessagePack between daemons; ignores unknown fields, since daemons may run mixed
     * versions.
     */
    public static final ObjectMapper MESSAGE_PACK = messagePack();

    private Mappers() {}

    private static ObjectMapper messagePack() {
        ObjectMapper mapper = new MessagePackMapper();
        mapper.registerModule(new Jdk8Module());
        mapper.registerModule(new JavaTimeModule());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        return mapper;
    }
}
